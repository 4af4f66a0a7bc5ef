package responsehead

import "net/http"

// Transport is an http.RoundTripper whose responses have valid heads. It is safe for
// concurrent use if its base is.
type Transport struct {
	// Base sends the requests.
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper. A response that Validate rejects is closed, and
// the error is that of Validate.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := Validate(resp); err != nil {
		_ = resp.Body.Close()
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
