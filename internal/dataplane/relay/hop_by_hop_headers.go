package relay

import "net/http"

// hopByHopHeaders are not forwarded (RFC 9110, section 7.6.1). Expect is among
// them because each node handles it itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Expect": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// IsHopByHopHeader reports whether a header must not be forwarded. The name must
// be in canonical form.
func IsHopByHopHeader(name string) bool { return hopByHopHeaders[name] }

// CopyEndToEndHeaders copies the headers that may be forwarded. The names must be
// in canonical form; dst and src share the value slices.
func CopyEndToEndHeaders(dst, src http.Header) {
	for name, values := range src {
		if !hopByHopHeaders[name] {
			dst[name] = values
		}
	}
}
