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

// app holds the command line and what it is bound to.
type app struct {
	cli     *kingpin.Application
	output  string
	actions map[string]action
}

func newApp(stdout, stderr io.Writer) *app {
	a := &app{cli: kingpin.New("fpctl", "Operate filbertpier: check, accept and publish documents, and look at nodes."), actions: map[string]action{}}
	a.cli.Version(buildVersion()).UsageWriter(stdout).ErrorWriter(stderr)
	a.cli.Flag("output", "Form of the output: text or json.").Default("text").EnumVar(&a.output, "text", "json")
	a.addDocumentCommands()
	a.addLeadCommands()
	a.addFleetCommands()
	a.addLogCommands()
	return a
}

func (a *app) command(name, help string) *kingpin.CmdClause { return a.cli.Command(name, help) }

func (a *app) on(cmd *kingpin.CmdClause, do action) { a.actions[cmd.FullCommand()] = do }

// run carries out a command line and returns the exit code.
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

// buildVersion returns the version of the module that the binary was built
// from, or the revision of its working tree.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return "fpctl " + info.Main.Version + " " + info.GoVersion
}

// outcome turns a result pointer that may be nil into a Result.
func outcome[T any, P interface {
	*T
	ctl.Result
}](p P, err error) (ctl.Result, error) {
	if p == nil {
		return nil, err
	}
	return p, err
}
