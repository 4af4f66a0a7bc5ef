package responsehead

import "strconv"

// InvalidFieldNameError reports a response with a field whose name is no token.
type InvalidFieldNameError struct {
	Name string
}

// Error quotes the name.
func (e *InvalidFieldNameError) Error() string {
	return "a response has the invalid field name " + strconv.Quote(e.Name)
}
