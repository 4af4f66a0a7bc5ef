package responsehead

import "net/http"

// Validate checks the head of a response, final or interim, that net/http has parsed. It
// returns an *InvalidStatusError if the status is none of 100 and 102 to 599: RFC 9110,
// section 15, has no others, and 101 (Switching Protocols) is sent only to clients that
// ask for it. It is safe for concurrent use.
func Validate(resp *http.Response) error {
	if resp.StatusCode < 100 || resp.StatusCode > 599 || resp.StatusCode == http.StatusSwitchingProtocols {
		return &InvalidStatusError{Status: resp.StatusCode}
	}
	return nil
}
