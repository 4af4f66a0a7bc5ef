package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/filbertpier/filbertpier/internal/testkit/rawserver"
)

// Listen starts a server that reads the head of a request on each connection, writes
// first, in which %s stands for the request's header named idHeader, and then repeats
// chunk until the other side closes. It returns the server's address and is closed with
// the test. addr may have the port 0.
func Listen(t testing.TB, addr, idHeader, first, chunk string) string {
	t.Helper()
	return rawserver.Listen(t, addr, func(c net.Conn) { serve(c, idHeader, first, chunk) })
}

func serve(c net.Conn, idHeader, first, chunk string) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	Write(c, strings.ReplaceAll(first, "%s", r.Header.Get(idHeader)), chunk)
}

// Write writes first and then repeats chunk until the other side closes.
func Write(w io.Writer, first, chunk string) {
	if _, err := io.WriteString(w, first); err != nil {
		return
	}
	repeated := []byte(strings.Repeat(chunk, 1+(64<<10)/len(chunk)))
	for {
		if _, err := w.Write(repeated); err != nil {
			return
		}
	}
}
