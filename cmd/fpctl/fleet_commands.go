package main

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/filbertpier/filbertpier/internal/ctl"
	"github.com/filbertpier/filbertpier/internal/ctl/fleet"
)

// nodeFlags holds the flags of commands that query nodes.
type nodeFlags struct {
	nodes   []string
	file    string
	timeout time.Duration
}

func newNodeFlags(cmd *kingpin.CmdClause) *nodeFlags {
	f := &nodeFlags{}
	cmd.Flag("node", "Base URL of a node's administration listener; may be repeated.").StringsVar(&f.nodes)
	cmd.Flag("nodes-file", "File with one base URL per line; # starts a comment.").StringVar(&f.file)
	cmd.Flag("timeout", "Timeout of the request to each node.").Default(fleet.DefaultTimeout.String()).DurationVar(&f.timeout)
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
	addNodeQuery(a, "status", "Show the status of nodes.", (*fleet.Client).Status)
	addNodeQuery(a, "versions", "Count nodes by the version in force.", (*fleet.Client).Versions)
	addNodeQuery(a, "upstreams", "Show the load and the limits of the upstream beside each node.", (*fleet.Client).Upstreams)
	a.addBehind()
	a.addLogLevel()
}

// addNodeQuery adds a command that queries all nodes and has no arguments.
func addNodeQuery[T any, P interface {
	*T
	ctl.Result
}](a *app, name, help string, query func(*fleet.Client, context.Context) (P, error)) {
	cmd := a.command(name, help)
	nodes := newNodeFlags(cmd)
	a.setAction(cmd, func(ctx context.Context) (ctl.Result, error) {
		client, err := nodes.client()
		if err != nil {
			return nil, err
		}
		return asResult(query(client, ctx))
	})
}

func (a *app) addBehind() {
	cmd := a.command("behind", "List nodes whose version is older than --wanted; fails if there are any.")
	nodes := newNodeFlags(cmd)
	wanted := cmd.Flag("wanted", "Lowest version number that is up to date; defaults to the greatest version in force on any node.").Uint64()
	a.setAction(cmd, func(ctx context.Context) (ctl.Result, error) {
		client, err := nodes.client()
		if err != nil {
			return nil, err
		}
		return asResult(client.Behind(ctx, *wanted))
	})
}

func (a *app) addLogLevel() {
	cmd := a.command("log-level", "Change the log level of nodes until they restart.")
	nodes := newNodeFlags(cmd)
	level := cmd.Arg("level", "trace, debug, info, warn or error.").Required().Enum("trace", "debug", "info", "warn", "error")
	a.setAction(cmd, func(ctx context.Context) (ctl.Result, error) {
		client, err := nodes.client()
		if err != nil {
			return nil, err
		}
		return asResult(client.SetLogLevel(ctx, *level))
	})
}
