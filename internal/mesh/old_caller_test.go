package mesh_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against the last bytes of a response to a caller of HTTP/1.0 that are still to be
// written when the connection is no longer set to be reset: closing it then would make the
// response look complete without them.
func TestResponseThatEndsAtCloseIsFlushed(t *testing.T) {
	const size = 2 << 20
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}))
	defer upstream.Close()
	s := newBesideUpstream(t, upstream.Listener.Addr().String())
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.Host, r.Proto, r.ProtoMajor, r.ProtoMinor = "h", "HTTP/1.0", 1, 0
	r.Header.Set("Id", "1")
	w := httptest.NewRecorder()
	s.CallerHandler().ServeHTTP(w, r)
	if w.Code != http.StatusOK || w.Body.Len() != size || !w.Flushed {
		t.Errorf("got status %d and a body of %d bytes, flushed %t, want all of it flushed", w.Code, w.Body.Len(), w.Flushed)
	}
}
