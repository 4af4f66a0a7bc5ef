package main

import (
	"context"

	"github.com/filbertpier/filbertpier/internal/ctl"
	"github.com/filbertpier/filbertpier/internal/ctl/compare"
	"github.com/filbertpier/filbertpier/internal/ctl/sections"
)

const pathsHelp = "Folder of section files, a section file, or a long document (one file with all sections)."

func (a *app) addDocumentCommands() {
	a.addCheck()
	a.addCheckSettings()
	a.addDiff()
	a.addSplit()
	a.addAssemble()
}

func (a *app) addCheck() {
	cmd := a.command("check", "Check a whole document and list all faults and warnings.")
	paths := cmd.Arg("path", pathsHelp).Required().Strings()
	a.setAction(cmd, func(context.Context) (ctl.Result, error) {
		doc, err := sections.Load(*paths...)
		if err != nil {
			return nil, err
		}
		return asResult(ctl.Check(doc))
	})
}

func (a *app) addCheckSettings() {
	cmd := a.command("check-settings", "Check a settings file as the node does at startup.")
	path := cmd.Arg("file", "Settings file.").Required().String()
	a.setAction(cmd, func(context.Context) (ctl.Result, error) { return asResult(ctl.CheckSettings(*path)) })
}

func (a *app) addDiff() {
	cmd := a.command("diff", "Show which sections of two documents differ, and the effects on ranks, services, routes and retry policies.")
	before := cmd.Arg("before", pathsHelp).Required().String()
	after := cmd.Arg("after", pathsHelp).Required().String()
	a.setAction(cmd, func(context.Context) (ctl.Result, error) {
		old, err := sections.Load(*before)
		if err != nil {
			return nil, err
		}
		next, err := sections.Load(*after)
		if err != nil {
			return nil, err
		}
		return asResult(compare.Documents(old, next))
	})
}

func (a *app) addSplit() {
	cmd := a.command("split", "Split a long document into one file per section and a file with the owners.")
	path := cmd.Arg("document", "Long document.").Required().String()
	dir := cmd.Flag("dir", "Folder to write to.").Required().String()
	a.setAction(cmd, func(context.Context) (ctl.Result, error) { return asResult(ctl.Split(*path, *dir)) })
}

func (a *app) addAssemble() {
	var req ctl.AssembleOptions
	cmd := a.command("assemble", "Write one long document from section files.")
	cmd.Arg("path", pathsHelp).Required().StringsVar(&req.Paths)
	cmd.Flag("out", "Long document to write.").Required().StringVar(&req.OutputPath)
	cmd.Flag("base", "Document that the team edited; required with --team.").StringVar(&req.BasePath)
	cmd.Flag("team", "Refuse changes to sections of other teams.").StringVar(&req.Team)
	a.setAction(cmd, func(context.Context) (ctl.Result, error) { return asResult(ctl.Assemble(req)) })
}
