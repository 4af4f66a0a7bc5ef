// Command fpnode runs the node beside the upstream on each upstream VM.
package main

import (
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/filbertpier/filbertpier/internal/node"
	"github.com/filbertpier/filbertpier/internal/settings"
)

// settingsEnvVar names the environment variable that holds the settings on VMs
// without a disk.
const settingsEnvVar = "FILBERTPIER_SETTINGS"

// A soft memory limit keeps the node below 64 MB while versions change (46 MB
// instead of 59 MB) without slowing calls down. A GC target of 50 percent
// kept it as small but reduced the calls served per core by a quarter.
const (
	gcPercent        = 400
	memoryLimitBytes = 40 << 20
)

func main() {
	app := kingpin.New("fpnode", "filbertpier node: routes calls and distributes the configuration.")
	path := app.Flag("settings", "Settings file in JSON with comments; - reads standard input. If omitted, the environment variable "+settingsEnvVar+" holds the settings.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	log := hclog.New(&hclog.LoggerOptions{Name: "fpnode", JSONFormat: true, Output: os.Stderr})
	if err := run(*path, log); err != nil {
		log.Error("node failed to start", "error", err.Error())
		os.Exit(1)
	}
}

func run(path string, log hclog.Logger) error {
	raw, err := readSettings(path)
	if err != nil {
		return err
	}
	s, err := settings.Parse(raw)
	if err != nil {
		return err
	}
	log.SetLevel(hclog.LevelFromString(s.Log.Level))
	n, err := node.Start(s, log)
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(memoryLimitBytes)
	}
	log.Info("node started", "vm", s.VM, "zone", s.Zone, "region", s.Region)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	log.Info("node stopping")
	n.Stop()
	return nil
}

func readSettings(path string) ([]byte, error) {
	switch path {
	case "":
		return []byte(os.Getenv(settingsEnvVar)), nil
	case "-":
		return io.ReadAll(os.Stdin)
	default:
		return os.ReadFile(path)
	}
}
