package responsehead

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Validate checks the head of a response, final or interim, that net/http has parsed. It
// is safe for concurrent use.
//
// It returns an *InvalidStatusError if the status is none of 100 and 102 to 599: RFC 9110,
// section 15, has no others, and 101 (Switching Protocols) is sent only to clients that
// ask for it. It returns an *InvalidFieldNameError if the name of a field is no token: RFC
// 9112, section 5.1. net/http rejects such names itself, but for those with a blank, which
// it neither interprets nor, in a server, sends: "Content-Length : 4" would give no length.
func Validate(resp *http.Response) error {
	if resp.StatusCode < 100 || resp.StatusCode > 599 || resp.StatusCode == http.StatusSwitchingProtocols {
		return &InvalidStatusError{Status: resp.StatusCode}
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidFieldNameError{Name: name}
		}
	}
	return nil
}
