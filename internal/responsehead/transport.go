package responsehead

import "net/http"

// Transport is an http.RoundTripper whose responses have valid heads. It is safe for
// concurrent use if its base is.
type Transport struct {
	// Base sends the requests.
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper. The error for a response that Validate rejects
// is that of Validate. The idle connections of the base are then closed: net/http keeps
// that of a response without a body, although what it sends next may belong to any request.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Validate(resp); err != nil {
		_ = resp.Body.Close()
		t.CloseIdleConnections()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the base.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
