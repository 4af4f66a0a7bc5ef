// Command fpsidecar is the node on VMs of the prepared platform, whose callers
// sit on the VM itself.
package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/filbertpier/filbertpier/internal/settings"
	"github.com/filbertpier/filbertpier/internal/sidecar"
	"github.com/filbertpier/filbertpier/internal/telemetry"
	"github.com/filbertpier/filbertpier/platform"
)

// memoryShare is the part of the node's memory limit from which garbage is
// collected more often.
const memoryShare = 0.6

func main() {
	app := kingpin.New("fpsidecar", "filbertpier node for VMs whose callers sit beside it.")
	path := app.Flag("settings", "Settings file of the platform.").Envar(platform.SettingsEnvVar).Required().String()
	level := app.Flag("log-level", "trace, debug, info, warn or error.").Default("info").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	out := telemetry.NewAsyncWriter(os.Stdout)
	log := hclog.New(&hclog.LoggerOptions{Name: "fpsidecar", JSONFormat: true, Output: out, Level: hclog.LevelFromString(*level)})
	err := run(*path, log)
	if err != nil {
		log.Error("the node cannot start", "error", err.Error())
	}
	out.Close()
	if err != nil {
		os.Exit(1)
	}
}

func run(path string, log hclog.Logger) error {
	s, err := load(path)
	if err != nil {
		return err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	n, err := sidecar.Start(s, sidecar.Adapter{
		HeaderNames: platform.HeaderNames(),
		Source:      platform.NewStoreClient(s.Store),
		Decoder:     platform.NewDecoder(s.Regions, s.RetryRatio),
		ReadyPath:   platform.ReadyPath, MetricsPath: platform.MetricsPath,
	}, log)
	if err != nil {
		return err
	}
	log.Info("node started", "vm", s.VM, "zone", s.Zone, "region", s.Region, "service", s.Service)
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		reload(path, log)
	}
	log.Info("node stopping")
	n.Stop()
	return nil
}

func load(path string) (*settings.Sidecar, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &settings.FileError{Path: path, Err: err}
	}
	return platform.DecodeSettings(raw)
}

// reload checks changed settings, so that faults show before the restart with
// which they take effect.
func reload(path string, log hclog.Logger) {
	if _, err := load(path); err != nil {
		log.Error("changed settings refused, the old ones stay in force", "error", err.Error())
		return
	}
	log.Info("changed settings are valid and apply at the next start")
}
