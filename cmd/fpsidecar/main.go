// Command fpsidecar runs a node that serves the callers on its own VM. Package
// platform adapts it to the platform of the deployment.
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

// softMemoryLimitFraction is the fraction of the node's memory limit above which
// the Go runtime collects garbage more often.
const softMemoryLimitFraction = 0.6

func main() {
	app := kingpin.New("fpsidecar", "filbertpier node for callers on the same VM.")
	path := app.Flag("settings", "Settings file of the platform.").Envar(platform.SettingsEnvVar).Required().String()
	level := app.Flag("log-level", "trace, debug, info, warn or error.").Default("info").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	out := telemetry.NewAsyncWriter(os.Stdout)
	log := hclog.New(&hclog.LoggerOptions{Name: "fpsidecar", JSONFormat: true, Output: out, Level: hclog.LevelFromString(*level)})
	err := run(*path, log)
	if err != nil {
		log.Error("node failed to start", "error", err.Error())
	}
	out.Close()
	if err != nil {
		os.Exit(1)
	}
}

func run(path string, log hclog.Logger) error {
	s, err := loadSettings(path)
	if err != nil {
		return err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(softMemoryLimitFraction * float64(s.MemoryBytes)))
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
		checkChangedSettings(path, log)
	}
	log.Info("node stopping")
	n.Stop()
	return nil
}

func loadSettings(path string) (*settings.Sidecar, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &settings.FileError{Path: path, Err: err}
	}
	return platform.DecodeSettings(raw)
}

// checkChangedSettings logs whether the settings file is valid. Settings take
// effect at the next start; the check reports faults before that.
func checkChangedSettings(path string, log hclog.Logger) {
	if _, err := loadSettings(path); err != nil {
		log.Error("changed settings are invalid, the node keeps running with the old ones", "error", err.Error())
		return
	}
	log.Info("changed settings are valid and take effect at the next start")
}
