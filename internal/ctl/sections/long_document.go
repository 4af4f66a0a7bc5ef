package sections

import (
	"bytes"
	"github.com/filbertpier/filbertpier/internal/ctl/files"

	"github.com/tailscale/hujson"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/strictjson"
)

const sectionsField = "sections"

// Assemble joins section texts into one long document. It keeps every byte of
// a section, so that Split returns sections with the same digests.
func Assemble(sections []config.Section) []byte {
	var b bytes.Buffer
	b.WriteString("{\"" + sectionsField + "\": [\n")
	for i, s := range sections {
		if i > 0 {
			b.WriteString(",\n")
		}
		b.Write(s.Raw)
		b.WriteByte('\n')
	}
	b.WriteString("]}\n")
	return b.Bytes()
}

// Split returns the sections of a long document. Names and owners come from the
// section texts; path is used in errors only. Errors are of type *files.Error
// or *config.InvalidDocumentError.
func Split(path string, raw []byte) ([]config.Section, error) {
	tree, problem := strictjson.Parse(raw)
	if problem != nil {
		return nil, &config.InvalidDocumentError{Faults: []config.Fault{{Section: path, Line: problem.Line, Rule: string(problem.Rule), Detail: problem.Detail}}}
	}
	list, ok := sectionList(&tree)
	if !ok {
		return nil, &files.Error{Op: `parse: not a long document (want one member "sections"):`, Path: path}
	}
	out := make([]config.Section, 0, len(list.Elements))
	for i := range list.Elements {
		out = append(out, parseSection(elementText(raw, list, i)))
	}
	return out, nil
}

// elementText returns the text of an element with the comments around it, but
// without the line break that Assemble adds on each side.
func elementText(raw []byte, list *hujson.Array, i int) []byte {
	e := &list.Elements[i]
	start, end := e.StartOffset-len(e.BeforeExtra), e.EndOffset+len(e.AfterExtra)
	if i == len(list.Elements)-1 && raw[end] != ',' {
		end += len(list.AfterExtra)
	}
	text := bytes.TrimPrefix(raw[start:end], []byte("\n"))
	return bytes.Clone(bytes.TrimSuffix(text, []byte("\n")))
}

// sectionList returns the array of sections if tree is a long document: an
// object whose only member is "sections".
func sectionList(tree *hujson.Value) (*hujson.Array, bool) {
	obj, ok := tree.Value.(*hujson.Object)
	if !ok || len(obj.Members) != 1 {
		return nil, false
	}
	name, _ := obj.Members[0].Name.Value.(hujson.Literal)
	list, ok := obj.Members[0].Value.Value.(*hujson.Array)
	return list, ok && name.String() == sectionsField
}

// parseSection returns a section with the name and the owner that its text
// states. Both are empty if the text is not an object, which the check reports.
func parseSection(raw []byte) config.Section {
	var stated struct {
		Section string `json:"section"`
		Owner   string `json:"owner"`
	}
	_, _ = strictjson.Decode(raw, &stated)
	return config.Section{Name: stated.Section, Owner: stated.Owner, Raw: raw}
}
