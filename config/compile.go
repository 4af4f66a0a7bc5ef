package config

// Compile parses and checks all sections of a document as a whole. It returns
// an *InvalidDocumentError that lists at most MaxKeptFaults faults; no partial
// document is ever returned.
func Compile(sections []Section) (*Document, error) {
	r := check(sections, MaxKeptFaults, false)
	if err := r.Err(); err != nil {
		return nil, err
	}
	return r.Document, nil
}

// CompileBody checks one decoded section as a whole document, for publications
// in another format than the text of sections. It returns an
// *InvalidDocumentError like Compile; faults carry no line.
func CompileBody(body SectionBody) (*Document, error) {
	c := newCompiler(MaxKeptFaults)
	c.addSource(&source{section: Section{Name: body.Section, Owner: body.Owner}, body: body, broken: map[string]bool{}})
	c.checkReferences()
	c.finish(false)
	if err := c.report.Err(); err != nil {
		return nil, err
	}
	return c.report.Document, nil
}

// Check does what Compile does, lists up to MaxFaults faults and also looks for
// what is valid but probably not meant.
func Check(sections []Section) *Report { return check(sections, MaxFaults, true) }

func check(sections []Section, maxFaults int, warn bool) *Report {
	c := newCompiler(maxFaults)
	if c.checkSize(sections) {
		for _, s := range sections {
			c.addSection(s)
		}
		c.checkReferences()
	}
	c.finish(warn)
	return &c.report
}
