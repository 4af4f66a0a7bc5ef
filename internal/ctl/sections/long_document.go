package sections

import (
	"bytes"
	"github.com/filbertpier/filbertpier/internal/ctl/files"

	"github.com/tailscale/hujson"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/strictjson"
)

const sectionsField = "sections"

// Assemble joins section texts into one long document. Every byte of a section
// is kept, so that its digest survives a round trip through Split.
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

// Split cuts a long document into its sections. Names and owners come from the
// section texts. path is used in errors only. It
// returns a *files.Error or a *config.InvalidDocumentError.
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
		out = append(out, named(elementText(raw, list, i)))
	}
	return out, nil
}

// elementText includes the comments around an element and drops the one line
// break on each side that Assemble adds.
func elementText(raw []byte, list *hujson.Array, i int) []byte {
	e := &list.Elements[i]
	start, end := e.StartOffset-len(e.BeforeExtra), e.EndOffset+len(e.AfterExtra)
	if i == len(list.Elements)-1 && raw[end] != ',' {
		end += len(list.AfterExtra)
	}
	text := bytes.TrimPrefix(raw[start:end], []byte("\n"))
	return bytes.Clone(bytes.TrimSuffix(text, []byte("\n")))
}

func sectionList(tree *hujson.Value) (*hujson.Array, bool) {
	obj, ok := tree.Value.(*hujson.Object)
	if !ok || len(obj.Members) != 1 {
		return nil, false
	}
	name, _ := obj.Members[0].Name.Value.(hujson.Literal)
	list, ok := obj.Members[0].Value.Value.(*hujson.Array)
	return list, ok && name.String() == sectionsField
}

// named returns a section with the name and the owner that its text states, or
// with empty ones if the text is not an object; the check then reports it.
func named(raw []byte) config.Section {
	var header struct {
		Section string `json:"section"`
		Owner   string `json:"owner"`
	}
	_, _ = strictjson.Decode(raw, &header)
	return config.Section{Name: header.Section, Owner: header.Owner, Raw: raw}
}
