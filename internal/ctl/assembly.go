package ctl

import (
	"bytes"
	"encoding/json"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/ctl/compare"
	"github.com/filbertpier/filbertpier/internal/ctl/files"
	"github.com/filbertpier/filbertpier/internal/ctl/sections"
)

// Assembly is a request to write one long document from section files.
type Assembly struct {
	Paths []string
	Out   string
	// Base is the document that Team edited; with both set, only sections of
	// that team may differ.
	Base string
	Team string
}

// Assemble writes the long document. It returns a *config.InvalidDocumentError,
// a *refusal.Error or a *files.Error; nothing is written then.
func Assemble(a Assembly) (*FileList, error) {
	doc, err := sections.Load(a.Paths...)
	if err != nil {
		return nil, err
	}
	if err := config.Check(doc).Err(); err != nil {
		return nil, err
	}
	if a.Team != "" {
		base, err := sections.Load(a.Base)
		if err != nil {
			return nil, err
		}
		if err := compare.CheckOwnership(a.Team, base, doc); err != nil {
			return nil, err
		}
	}
	if err := files.Write(a.Out, sections.Assemble(doc), 0o644); err != nil {
		return nil, err
	}
	return &FileList{Files: []string{a.Out}}, nil
}

// Split writes a valid document as one file per section and the owners file.
// Its errors are those of Assemble.
func Split(path, dir string) (*FileList, error) {
	doc, err := sections.Load(path)
	if err != nil {
		return nil, err
	}
	if err := config.Check(doc).Err(); err != nil {
		return nil, err
	}
	var owners bytes.Buffer
	enc := json.NewEncoder(&owners)
	enc.SetIndent("", "  ")
	if err := enc.Encode(sections.StatedOwners(doc)); err != nil {
		return nil, &files.Error{Op: "encode", Path: sections.OwnersFile, Err: err}
	}
	paths, err := sections.WriteFolder(dir, doc, owners.Bytes())
	if err != nil {
		return nil, err
	}
	return &FileList{Files: paths}, nil
}
