package main

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/filbertpier/filbertpier/internal/ctl"
	"github.com/filbertpier/filbertpier/internal/ctl/fleet"
)

// nodeFlags are the flags of commands that ask nodes.
type nodeFlags struct {
	nodes   []string
	file    string
	timeout time.Duration
}

func newNodeFlags(cmd *kingpin.CmdClause) *nodeFlags {
	f := &nodeFlags{}
	cmd.Flag("node", "Base URL of a node's administration listener; may be repeated.").StringsVar(&f.nodes)
	cmd.Flag("nodes-file", "File with one such URL per line; # begins a comment.").StringVar(&f.file)
	cmd.Flag("timeout", "Bound on the request to each node.").Default(fleet.DefaultTimeout.String()).DurationVar(&f.timeout)
	return f
}

func (f *nodeFlags) client() (*fleet.Client, error) {
	nodes, err := ctl.LoadNodeURLs(f.nodes, f.file)
	if err != nil {
		return nil, err
	}
	return fleet.NewClient(nodes, f.timeout), nil
}

func (a *app) addFleetCommands() {
	addFleet(a, "status", "Show the status of nodes.", (*fleet.Client).Status)
	addFleet(a, "versions", "Count nodes by the version in force.", (*fleet.Client).Versions)
	addFleet(a, "upstreams", "Show load and limits of the upstreams beside nodes.", (*fleet.Client).Upstreams)
	a.addBehind()
	a.addLogLevel()
}

func addFleet[T any, P interface {
	*T
	ctl.Result
}](a *app, name, help string, do func(*fleet.Client, context.Context) (P, error)) {
	cmd := a.command(name, help)
	nodes := newNodeFlags(cmd)
	a.on(cmd, func(ctx context.Context) (ctl.Result, error) {
		client, err := nodes.client()
		if err != nil {
			return nil, err
		}
		return outcome(do(client, ctx))
	})
}

func (a *app) addBehind() {
	cmd := a.command("behind", "List nodes that lack a version; fails if there are any.")
	nodes := newNodeFlags(cmd)
	wanted := cmd.Flag("wanted", "Least version number; without it, the greatest in force on any of the nodes.").Uint64()
	a.on(cmd, func(ctx context.Context) (ctl.Result, error) {
		client, err := nodes.client()
		if err != nil {
			return nil, err
		}
		return outcome(client.Behind(ctx, *wanted))
	})
}

func (a *app) addLogLevel() {
	cmd := a.command("log-level", "Change the log level of nodes until they restart.")
	nodes := newNodeFlags(cmd)
	level := cmd.Arg("level", "trace, debug, info, warn or error.").Required().Enum("trace", "debug", "info", "warn", "error")
	a.on(cmd, func(ctx context.Context) (ctl.Result, error) {
		client, err := nodes.client()
		if err != nil {
			return nil, err
		}
		return outcome(client.SetLogLevel(ctx, *level))
	})
}
