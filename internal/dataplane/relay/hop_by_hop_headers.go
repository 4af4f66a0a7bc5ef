package relay

import "net/http"

// hopByHopHeaders belong to one connection (RFC 9110, section 7.6.1). Expect is
// answered by each node itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Expect": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// IsHopByHopHeader reports whether a header belongs to one connection.
func IsHopByHopHeader(name string) bool { return hopByHopHeaders[name] }

// CopyEndToEndHeaders copies the headers that do not belong to one connection.
func CopyEndToEndHeaders(dst, src http.Header) {
	for name, values := range src {
		if !hopByHopHeaders[name] {
			dst[name] = values
		}
	}
}
