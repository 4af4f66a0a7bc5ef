package responsehead

import "errors"

// IsInvalid reports whether err is, or wraps, an error of Validate.
func IsInvalid(err error) bool {
	var status *InvalidStatusError
	var name *InvalidFieldNameError
	return errors.As(err, &status) || errors.As(err, &name)
}
