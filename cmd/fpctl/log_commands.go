package main

import (
	"context"

	"github.com/filbertpier/filbertpier/internal/ctl"
	"github.com/filbertpier/filbertpier/internal/ctl/explain"
)

func (a *app) addLogCommands() {
	cmd := a.command("explain", "Show the timeline of one request from the logs of nodes.")
	id := cmd.Arg("id", "ID of the request.").Required().String()
	files := cmd.Arg("file", "Log files of nodes.").Required().ExistingFiles()
	a.setAction(cmd, func(context.Context) (ctl.Result, error) { return asResult(explain.ReadTimeline(*id, *files)) })
}
