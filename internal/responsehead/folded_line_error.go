package responsehead

// FoldedLineError reports a response whose head has a line that begins with a blank or a
// tab.
type FoldedLineError struct{}

// Error describes the line.
func (e *FoldedLineError) Error() string {
	return "a response has a line in its head that begins with a blank or a tab"
}
