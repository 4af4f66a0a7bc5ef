package config

// Compile parses and checks all sections of a document as a whole. If there are
// faults, it returns no document but an *InvalidDocumentError, which lists at
// most MaxCompileFaults of them.
func Compile(sections []Section) (*Document, error) {
	r := check(sections, MaxCompileFaults, false)
	if err := r.Err(); err != nil {
		return nil, err
	}
	return r.Document, nil
}

// CompileBody compiles one decoded section as a whole document, for versions
// that are not published as section texts. It returns an *InvalidDocumentError
// as Compile does, but the faults have no line numbers.
func CompileBody(body SectionBody) (*Document, error) {
	c := newCompiler(MaxCompileFaults)
	c.addSource(&source{section: Section{Name: body.Section, Owner: body.Owner}, body: body, hasDecodeFault: map[string]bool{}})
	c.checkReferences()
	c.finish(false)
	if err := c.report.Err(); err != nil {
		return nil, err
	}
	return c.report.Document, nil
}

// Check runs the checks of Compile, lists up to MaxFaults faults and also warns
// about valid settings that are probably mistakes.
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
