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
	if len(c.report.Faults) == 0 {
		c.doc.sortRoutes()
		c.doc.sortRanks()
		if warn {
			c.lint()
		}
		c.report.Document = c.doc
	}
	c.report.sort()
	return &c.report
}
