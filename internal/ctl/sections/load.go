package sections

import (
	"bytes"
	"fmt"
	"github.com/filbertpier/filbertpier/internal/ctl/files"
	"github.com/filbertpier/filbertpier/internal/ctl/refusal"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/strictjson"
)

// sectionSuffix is the suffix of section files: JSON with comments.
const sectionSuffix = ".jsonc"

// Load reads sections from folders with one file per section, from section
// files and from long documents. The name of a section file is the name of its
// section. If a folder has an owners file, that file sets the owners. Errors are
// of type *files.Error, *refusal.Error or *config.InvalidDocumentError.
func Load(paths ...string) ([]config.Section, error) {
	var out []config.Section
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, &files.Error{Op: "read", Path: path, Err: err}
		}
		load := loadFile
		if info.IsDir() {
			load = loadFolder
		}
		sections, err := load(path)
		if err != nil {
			return nil, err
		}
		out = append(out, sections...)
	}
	return out, nil
}

func loadFolder(dir string) ([]config.Section, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, &files.Error{Op: "read", Path: dir, Err: err}
	}
	var out []config.Section
	var owners *Owners
	for _, e := range entries {
		path := filepath.Join(dir, e.Name())
		if e.IsDir() || filepath.Ext(path) != sectionSuffix {
			continue
		}
		raw, err := files.Read(path)
		if err != nil {
			return nil, err
		}
		if e.Name() != OwnersFile {
			out = append(out, sectionFromFile(path, raw))
		} else if owners, err = ParseOwners(path, raw); err != nil {
			return nil, err
		}
	}
	if owners != nil {
		return out, owners.Enforce(out)
	}
	return out, nil
}

func loadFile(path string) ([]config.Section, error) {
	raw, err := files.Read(path)
	if err != nil {
		return nil, err
	}
	if tree, problem := strictjson.Parse(raw); problem == nil {
		if _, ok := sectionList(&tree); ok {
			return Split(path, raw)
		}
	}
	return []config.Section{sectionFromFile(path, raw)}, nil
}

// sectionFromFile names the section after the file, so that the check reports
// a text that states a different name.
func sectionFromFile(path string, raw []byte) config.Section {
	s := parseSection(bytes.TrimSuffix(raw, []byte("\n")))
	s.Name = strings.TrimSuffix(filepath.Base(path), sectionSuffix)
	return s
}

// WriteFolder writes one file per section and the owners file. It returns the
// paths of the files that it wrote, sorted, and leaves other files in dir alone.
func WriteFolder(dir string, sections []config.Section, owners []byte) ([]string, error) {
	var paths []string
	for _, s := range sections {
		if s.Name != filepath.Base(s.Name) || s.Name+sectionSuffix == OwnersFile {
			return nil, &refusal.Error{Reason: refusal.ReasonSectionName, Detail: fmt.Sprintf("section name %q cannot be used as a file name", s.Name), Remedy: "rename the section"}
		}
		path := filepath.Join(dir, s.Name+sectionSuffix)
		if err := files.Write(path, append(bytes.Clone(s.Raw), '\n'), 0o644); err != nil {
			return nil, err
		}
		paths = append(paths, path)
	}
	path := filepath.Join(dir, OwnersFile)
	if err := files.Write(path, owners, 0o644); err != nil {
		return nil, err
	}
	paths = append(paths, path)
	slices.Sort(paths)
	return paths, nil
}
