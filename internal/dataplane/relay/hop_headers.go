package relay

import "net/http"

// hopHeaders belong to one connection (RFC 9110, section 7.6.1). Expect is
// answered by each node itself.
var hopHeaders = map[string]bool{
	"Connection": true, "Expect": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// IsHopHeader reports whether a header belongs to one connection.
func IsHopHeader(name string) bool { return hopHeaders[name] }

// CopyEndToEndHeaders copies the headers that do not belong to one connection.
func CopyEndToEndHeaders(dst, src http.Header) {
	for name, values := range src {
		if !hopHeaders[name] {
			dst[name] = values
		}
	}
}
