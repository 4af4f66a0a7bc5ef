package pipeline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a shutdown of the server that cuts responses which wait for their turn
// behind one that is being sent, and against a request that arrives meanwhile and takes
// them along.
func TestShutdownWaitsForResponsesSentAhead(t *testing.T) {
	for name, late := range map[string]string{"nothing arrives": "", "a request arrives": get("/late")} {
		t.Run(name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			started, release := make(chan struct{}, 10), make(chan struct{})
			server := serve(t, NewListener(inner, func(Cut) {}), func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/first" {
					// The head is sent before the shutdown, which would close the connection
					// with it otherwise.
					w.WriteHeader(http.StatusOK)
					_ = http.NewResponseController(w).Flush()
					started <- struct{}{}
					<-release
				}
				_, _ = io.WriteString(w, r.URL.Path)
				started <- struct{}{}
			})
			c := dial(t, inner.Addr().String())
			_, _ = io.WriteString(c, get("/first")+get("/2")+get("/3"))
			for range 3 {
				<-started
			}
			// The handlers of the others have returned, or do so at once. A head that is
			// written after the shutdown has begun would close the connection too.
			time.Sleep(300 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- server.Shutdown(ctx) }()
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(c, late)
			time.Sleep(50 * time.Millisecond)
			close(release)
			r := bufio.NewReader(c)
			for _, path := range []string{"/first", "/2", "/3"} {
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatalf("no response to %s: %v", path, err)
				}
				if body, err := io.ReadAll(resp.Body); string(body) != path || err != nil {
					t.Errorf("got response %q with error %v, want that to %s", body, err, path)
				}
			}
			if err := <-stopped; err != nil {
				t.Errorf("the shutdown ended with %v", err)
			}
		})
	}
}
