package relay

import (
	"io"
	"net/http"
	"strings"

	"github.com/filbertpier/filbertpier/internal/call"
)

// PreventTransportRetry keeps http.Transport from sending a request again on
// another connection. The transport does so with a request without a body if the
// method is safe or the header holds an idempotency key in its canonical
// spelling. Header names are case-insensitive on the wire, so the receiver sees
// no difference.
func PreventTransportRetry(out *http.Request) {
	for _, name := range []string{call.HeaderIdempotencyKey, "X-Idempotency-Key"} {
		if values, ok := out.Header[name]; ok {
			delete(out.Header, name)
			out.Header[strings.ToLower(name)] = values
		}
	}
	switch out.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		if out.Body == http.NoBody {
			out.Body = io.NopCloser(strings.NewReader(""))
		}
	}
}
