package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"

	"github.com/filbertpier/filbertpier/internal/ctl"
)

// app is the command line of fpctl: its flags and the action of each command.
type app struct {
	cli     *kingpin.Application
	output  string
	actions map[string]action
}

func newApp(stdout, stderr io.Writer) *app {
	a := &app{cli: kingpin.New("fpctl", "Operate filbertpier: check, sign and publish documents, and query nodes."), actions: map[string]action{}}
	a.cli.Version(buildVersion()).UsageWriter(stdout).ErrorWriter(stderr)
	a.cli.Flag("output", "Output format: text or json.").Default("text").EnumVar(&a.output, "text", "json")
	a.addDocumentCommands()
	a.addLeadCommands()
	a.addFleetCommands()
	a.addLogCommands()
	return a
}

func (a *app) command(name, help string) *kingpin.CmdClause { return a.cli.Command(name, help) }

func (a *app) setAction(cmd *kingpin.CmdClause, run action) { a.actions[cmd.FullCommand()] = run }

// run executes a command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	a := newApp(stdout, stderr)
	name, err := a.cli.Parse(args)
	if err != nil {
		a.cli.Errorf("%s, try --help", err)
		return int(ctl.ExitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	result, err := a.actions[name](ctx)
	return int(ctl.Print(stdout, stderr, a.output == "json", result, err))
}

// buildVersion returns the name of the tool, the module version, which Go derives
// from the revision if there is no release, and the Go version.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return "fpctl " + info.Main.Version + " " + info.GoVersion
}

// asResult returns p as a Result, or a nil Result if p is nil: an interface that
// holds a nil pointer is not nil.
func asResult[T any, P interface {
	*T
	ctl.Result
}](p P, err error) (ctl.Result, error) {
	if p == nil {
		return nil, err
	}
	return p, err
}
