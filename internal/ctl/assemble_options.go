package ctl

import (
	"bytes"
	"encoding/json"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/ctl/compare"
	"github.com/filbertpier/filbertpier/internal/ctl/files"
	"github.com/filbertpier/filbertpier/internal/ctl/sections"
)

// AssembleOptions are the arguments of Assemble.
type AssembleOptions struct {
	// Paths are section files or folders of them.
	Paths []string
	// OutputPath is the long document to write.
	OutputPath string
	// BasePath is the document that Team started from. If Team is set, only
	// sections of that team may differ from it.
	BasePath string
	Team     string
}

// Assemble checks the sections and writes them as one long document. On failure
// it writes nothing and returns a *config.InvalidDocumentError, a *refusal.Error
// or a *files.Error.
func Assemble(a AssembleOptions) (*FileList, error) {
	doc, err := sections.Load(a.Paths...)
	if err != nil {
		return nil, err
	}
	if err := config.Check(doc).Err(); err != nil {
		return nil, err
	}
	if a.Team != "" {
		base, err := sections.Load(a.BasePath)
		if err != nil {
			return nil, err
		}
		if err := compare.CheckOwnership(a.Team, base, doc); err != nil {
			return nil, err
		}
	}
	if err := files.Write(a.OutputPath, sections.Assemble(doc), 0o644); err != nil {
		return nil, err
	}
	return &FileList{Files: []string{a.OutputPath}}, nil
}

// Split writes a valid document as one file per section and the owners file.
// It returns the same types of error as Assemble.
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
