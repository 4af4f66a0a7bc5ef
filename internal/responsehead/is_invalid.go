package responsehead

import "errors"

// IsInvalid reports whether err is, or wraps, an error of Validate or of Scanner.
func IsInvalid(err error) bool {
	var status *InvalidStatusError
	var name *InvalidFieldNameError
	var folded *FoldedLineError
	return errors.As(err, &status) || errors.As(err, &name) || errors.As(err, &folded)
}
