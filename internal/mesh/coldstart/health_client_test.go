package coldstart

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a health response that is taken for warm although it does not tell, and
// against odd values of the header.
func TestProbe(t *testing.T) {
	var status int
	var header string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if header != "" {
			w.Header().Set("Cold", header)
		}
		w.WriteHeader(status)
	}))
	defer server.Close()
	client := NewHealthClient(strings.TrimPrefix(server.URL, "http://"), "", "Cold")
	defer client.Close()
	for _, c := range []struct {
		status int
		header string
		want   time.Duration
		fails  bool
	}{
		{200, "", 0, false},
		{200, "1500", 1500 * time.Millisecond, false},
		{503, "250.5", 250500 * time.Microsecond, false},
		{503, "", 0, true},
		{200, "-1", 0, true},
		{200, "NaN", 0, true},
		{200, "soon", 0, true},
		{200, "1e300", maxRemaining, false},
	} {
		status, header = c.status, c.header
		got, err := client.Probe(t.Context(), "/health")
		var probe *ProbeError
		if got != c.want || errors.As(err, &probe) != c.fails {
			t.Errorf("status %d, header %q: got %s and error %v, want %s", c.status, c.header, got, err, c.want)
		}
	}
}
