package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/filbertpier/filbertpier/config/manifest"
	"github.com/filbertpier/filbertpier/internal/ctl"
	"github.com/filbertpier/filbertpier/internal/ctl/lead"
	"github.com/filbertpier/filbertpier/internal/ctl/sections"
)

const previousHelp = "Envelope of the version published last."

func (a *app) addLeadCommands() {
	a.addKeygen()
	a.addAccept()
	a.addVerify()
	a.addPublishFiles()
}

func (a *app) addKeygen() {
	cmd := a.command("keygen", "Generate a lead's key pair. The private key file has mode 0600 and is never printed.")
	role := cmd.Flag("lead", "Role of the lead: product or operations.").Required().Enum(string(manifest.LeadProduct), string(manifest.LeadOperations))
	base := cmd.Flag("out", "Path of the files, without the suffixes .key and .pub.").Required().String()
	a.setAction(cmd, func(context.Context) (ctl.Result, error) {
		return asResult(lead.GenerateKeyFiles(manifest.Lead(*role), *base))
	})
}

func (a *app) addAccept() {
	var req lead.AcceptFilesOptions
	cmd := a.command("accept", "Sign a version as a lead.")
	cmd.Arg("path", pathsHelp).Required().StringsVar(&req.DocumentPaths)
	cmd.Flag("key", "Private key file of the lead.").Required().StringVar(&req.KeyPath)
	cmd.Flag("number", "Version number; defaults to that of --previous plus one.").Uint64Var(&req.Version)
	cmd.Flag("previous", previousHelp).StringVar(&req.PreviousPath)
	cmd.Flag("envelope", "Envelope already signed by the other lead.").StringVar(&req.EnvelopePath)
	cmd.Flag("out", "Envelope to write.").Required().StringVar(&req.OutputPath)
	a.setAction(cmd, func(context.Context) (ctl.Result, error) { return asResult(req.Accept()) })
}

func publicKeyFlags(cmd *kingpin.CmdClause) *lead.PublicKeyFiles {
	keys := &lead.PublicKeyFiles{}
	cmd.Flag("product", "Public key file of the product lead; may be repeated.").Required().StringsVar(&keys.Product)
	cmd.Flag("operations", "Public key file of the operations lead; may be repeated.").Required().StringsVar(&keys.Operations)
	return keys
}

func (a *app) addVerify() {
	cmd := a.command("verify", "Verify an envelope as nodes do; with paths, also verify that it was signed for these sections.")
	env := cmd.Flag("envelope", "Envelope to verify.").Required().String()
	keys := publicKeyFlags(cmd)
	paths := cmd.Arg("path", pathsHelp).Strings()
	a.setAction(cmd, func(context.Context) (ctl.Result, error) { return asResult(lead.VerifyFiles(*keys, *env, *paths)) })
}

func (a *app) addPublishFiles() {
	cmd := a.command("publish-files", "Verify a version and write each value to publish to a file.")
	env := cmd.Flag("envelope", "Envelope signed by both leads.").Required().String()
	previous := cmd.Flag("previous", previousHelp+" Sections that it contains are not written.").String()
	dir := cmd.Flag("dir", "Folder to write to.").Required().String()
	keys := publicKeyFlags(cmd)
	paths := cmd.Arg("path", pathsHelp).Required().Strings()
	a.setAction(cmd, func(context.Context) (ctl.Result, error) {
		doc, err := sections.Load(*paths...)
		if err != nil {
			return nil, err
		}
		return asResult(lead.PublishFiles(*keys, *env, *previous, *dir, doc))
	})
}
