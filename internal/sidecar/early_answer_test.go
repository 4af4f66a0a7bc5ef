package sidecar_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// earlyAnswerPause is how long after its answer an upstream reads the rest of a body.
const earlyAnswerPause = 20 * time.Millisecond

// slowUpload describes a request body whose end the caller sends slowly.
type slowUpload struct {
	length, atOnce, piece int
	gap                   time.Duration
	chunked               bool
}

// uploadBytes is the longest upload; each of its lines names its place.
var uploadBytes = sync.OnceValue(func() []byte {
	var b bytes.Buffer
	for b.Len() < 2<<20 {
		_, _ = fmt.Fprintf(&b, "place %08d\n", b.Len())
	}
	return b.Bytes()
})

// send writes the request to c. It stops at the first error, since the node may close
// the connection after it has answered.
func (u slowUpload) send(c net.Conn, id int64) {
	body := uploadBytes()[:u.length]
	framing := "Content-Length: " + strconv.Itoa(u.length)
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	_, err := fmt.Fprintf(c, "POST /once/early HTTP/1.1\r\nHost: h\r\n%s: %d\r\n%s: 2500\r\n%s\r\n\r\n",
		headerNames.AttemptID, id, headerNames.TimeLeft, framing)
	write := func(part []byte) {
		if err == nil && u.chunked {
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
		} else if err == nil {
			_, err = c.Write(part)
		}
	}
	write(body[:u.atOnce])
	for at := u.atOnce; at < u.length; at += u.piece {
		time.Sleep(u.gap)
		write(body[at:min(at+u.piece, u.length)])
	}
	if u.chunked && err == nil {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

// response sends the request over a new connection and returns the whole response, which
// arrives while the body is being sent.
func (u slowUpload) response(v *vm) response {
	c, err := net.Dial("tcp", v.addr(1))
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = c.Close() }()
	var sent sync.WaitGroup
	sent.Go(func() { u.send(c, lastAttemptID.Add(1)) })
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return response{err: err}
	}
	defer sent.Wait()
	body, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(body), err: err}
}

// answerEarly returns an upstream's handler that refuses long requests before their
// body is in, reads on and counts bodies with other bytes than the caller's.
func answerEarly(t *testing.T, changed *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength >= 0 && r.ContentLength < 1<<20 {
			respondAfter(0)(w, r)
			return
		}
		rc := http.NewResponseController(w)
		_ = rc.EnableFullDuplex()
		w.Header().Set(headerNames.NotRun, "1")
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = rc.Flush()
		time.Sleep(earlyAnswerPause)
		got, err := io.ReadAll(r.Body)
		whole := uploadBytes()
		if n := len(got); !bytes.Equal(got, whole[:n]) {
			changed.Add(1)
			at := 0
			for got[at] == whole[at] {
				at++
			}
			t.Errorf("the upstream read %d bytes (%v), other than the caller's from %d on: %.40q", n, err, at, got[at:])
		}
	}
}

// Guards against an upstream that answers a long body early, reads on and gets other
// bytes where the rest of the body is due: a later part of it or another request.
func TestBodyStaysWholeAfterAnEarlyAnswer(t *testing.T) {
	cases := map[string]slowUpload{
		"length, fast line":     {length: 1_200_000, atOnce: 1_060_000, piece: 7_000, gap: 2 * time.Millisecond},
		"length, slow line":     {length: 1_200_000, atOnce: 1_060_000, piece: 7_000, gap: 12 * time.Millisecond},
		"length, long rest":     {length: 1_600_000, atOnce: 1_060_000, piece: 20_000, gap: 2 * time.Millisecond},
		"length, unscheduled":   {length: 1_060_000, atOnce: 1_049_000, piece: 500, gap: time.Millisecond},
		"chunks, fast line":     {length: 1_200_000, atOnce: 1_060_000, piece: 7_000, gap: 2 * time.Millisecond, chunked: true},
		"chunks, slow line":     {length: 1_200_000, atOnce: 1_060_000, piece: 7_000, gap: 12 * time.Millisecond, chunked: true},
		"length, one last part": {length: 1_200_000, atOnce: 1_060_000, piece: 140_000, gap: 60 * time.Millisecond},
		"length, beyond drain":  {length: 1_900_000, atOnce: 1_060_000, piece: 40_000, gap: 2 * time.Millisecond},
	}
	for name, upload := range cases {
		t.Run(name, func(t *testing.T) {
			var changed atomic.Int64
			f := newFleet(t)
			local := f.add("a", "z1", answerEarly(t, &changed)).start()
			remote := f.add("b", "z1", respondAfter(0)).start()
			for _, v := range f.vms {
				await(t, "the nodes to be ready", v.ready)
				await(t, "the nodes to know the upstream", func() bool { return v.call("GET", "/safe/x").status == http.StatusOK })
			}
			for _, entry := range []*vm{local, remote} {
				checkEarlyAnswers(t, entry, upload, &changed)
			}
		})
	}
}

// checkEarlyAnswers sends uploads beside short calls, which share the connections to
// the upstream, and expects that each upload is refused and each short call served.
func checkEarlyAnswers(t *testing.T, entry *vm, upload slowUpload, changed *atomic.Int64) {
	t.Helper()
	stop := make(chan struct{})
	var short sync.WaitGroup
	short.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			if got := entry.call("POST", "/once/short"); got.status != http.StatusOK || got.body != "done /once/short" {
				t.Errorf("a short call by %s got %+v, want status 200", entry.id, got)
			}
		}
	})
	for range 4 {
		if got := upload.response(entry); got.err != nil || got.status != http.StatusServiceUnavailable {
			t.Errorf("an upload by %s got status %d (%v), want 503", entry.id, got.status, got.err)
		}
		time.Sleep(60 * time.Millisecond)
	}
	close(stop)
	short.Wait()
	if n := changed.Load(); n > 0 {
		t.Errorf("%d bodies were changed on their way from %s, want none", n, entry.id)
	}
}
