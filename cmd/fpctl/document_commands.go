package main

import (
	"context"

	"github.com/filbertpier/filbertpier/internal/ctl"
	"github.com/filbertpier/filbertpier/internal/ctl/compare"
	"github.com/filbertpier/filbertpier/internal/ctl/sections"
)

const pathsHelp = "Folder of section files, section files, or a long document."

func (a *app) addDocumentCommands() {
	a.addCheck()
	a.addCheckSettings()
	a.addDiff()
	a.addSplit()
	a.addAssemble()
}

func (a *app) addCheck() {
	cmd := a.command("check", "Check a document as a whole and list every fault and warning.")
	paths := cmd.Arg("path", pathsHelp).Required().Strings()
	a.on(cmd, func(context.Context) (ctl.Result, error) {
		doc, err := sections.Load(*paths...)
		if err != nil {
			return nil, err
		}
		return outcome(ctl.Check(doc))
	})
}

func (a *app) addCheckSettings() {
	cmd := a.command("check-settings", "Check the settings of a node as it does when it starts.")
	path := cmd.Arg("file", "Settings file.").Required().String()
	a.on(cmd, func(context.Context) (ctl.Result, error) { return outcome(ctl.CheckSettings(*path)) })
}

func (a *app) addDiff() {
	cmd := a.command("diff", "Compare two documents by section and by effect.")
	before := cmd.Arg("before", pathsHelp).Required().String()
	after := cmd.Arg("after", pathsHelp).Required().String()
	a.on(cmd, func(context.Context) (ctl.Result, error) {
		old, err := sections.Load(*before)
		if err != nil {
			return nil, err
		}
		next, err := sections.Load(*after)
		if err != nil {
			return nil, err
		}
		return outcome(compare.Documents(old, next))
	})
}

func (a *app) addSplit() {
	cmd := a.command("split", "Write a long document as one file per section and the list of owners.")
	path := cmd.Arg("document", "Long document.").Required().String()
	dir := cmd.Flag("dir", "Folder to write to.").Required().String()
	a.on(cmd, func(context.Context) (ctl.Result, error) { return outcome(ctl.Split(*path, *dir)) })
}

func (a *app) addAssemble() {
	var req ctl.AssembleOptions
	cmd := a.command("assemble", "Write one long document from section files.")
	cmd.Arg("path", pathsHelp).Required().StringsVar(&req.Paths)
	cmd.Flag("out", "Long document to write.").Required().StringVar(&req.OutputPath)
	cmd.Flag("base", "Document that the team started from; needed with --team.").StringVar(&req.BasePath)
	cmd.Flag("team", "Refuse changes to sections of other teams.").StringVar(&req.Team)
	a.on(cmd, func(context.Context) (ctl.Result, error) { return outcome(ctl.Assemble(req)) })
}
