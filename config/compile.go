package config

// Compile parses and checks all sections of a document as a whole. It returns
// an *InvalidDocumentError that lists every fault found; no partial document
// is ever returned.
func Compile(sections []Section) (*Document, error) {
	c := newCompiler()
	for _, s := range sections {
		c.addSection(s)
	}
	c.checkReferences()
	if len(c.faults) > 0 {
		return nil, &InvalidDocumentError{Faults: c.faults}
	}
	c.doc.sortRoutes()
	c.doc.sortRanks()
	return c.doc, nil
}
