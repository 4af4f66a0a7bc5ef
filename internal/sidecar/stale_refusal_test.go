package sidecar_test

import (
	"fmt"
	"net/http"
	"testing"
)

// refuseAgain writes an earlier refusal, with the header lines given, in place of
// the response to a call that the upstream has run.
func refuseAgain(w http.ResponseWriter, header string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n", headerNames.NotRun, header)
}

// Guards against reporting a call as not run, or running it twice, after an earlier refusal.
func TestEarlierRefusalIsNotTakenForTheAnswer(t *testing.T) {
	cases := map[string]string{
		"without an attempt id":           "",
		"with the attempt id of its call": headerNames.AttemptID + ": 0\r\n",
		"with an empty attempt id":        headerNames.AttemptID + ": \r\n",
	}
	for name, header := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			handler := func(w http.ResponseWriter, _ *http.Request) { refuseAgain(w, header) }
			a := f.add("a", "z1", handler).start()
			b := f.add("a", "z1", handler).start()
			for _, v := range f.vms {
				await(t, "the nodes to be ready", v.ready)
			}
			await(t, "a call that reached an upstream", func() bool {
				got := a.call("POST", "/once/x")
				if a.runs.Load()+b.runs.Load() > 0 && got.status != http.StatusBadGateway {
					t.Errorf("got %+v, want status 502", got)
				}
				return a.runs.Load()+b.runs.Load() > 0
			})
			if n := a.runs.Load() + b.runs.Load(); n != 1 {
				t.Errorf("the call ran %d times, want 1", n)
			}
		})
	}
}
