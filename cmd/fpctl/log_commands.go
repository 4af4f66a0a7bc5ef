package main

import (
	"context"

	"github.com/filbertpier/filbertpier/internal/ctl"
	"github.com/filbertpier/filbertpier/internal/ctl/explain"
)

func (a *app) addLogCommands() {
	cmd := a.command("explain", "Tell the story of one request from the logs of nodes.")
	id := cmd.Arg("id", "Id of the request.").Required().String()
	files := cmd.Arg("file", "Log files of nodes.").Required().ExistingFiles()
	a.on(cmd, func(context.Context) (ctl.Result, error) { return outcome(explain.ReadTimeline(*id, *files)) })
}
