package brokenhead

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/filbertpier/filbertpier/internal/testkit/rawserver"
)

// Listen starts a server that answers each request with text, in which %s stands for the
// request's header named idHeader. It returns the server's address and is closed with the
// test. addr may have the port 0.
func Listen(t testing.TB, addr, idHeader, text string) string {
	t.Helper()
	return rawserver.Listen(t, addr, func(c net.Conn) { serve(c, idHeader, text) })
}

func serve(c net.Conn, idHeader, text string) {
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, strings.ReplaceAll(text, "%s", request.Header.Get(idHeader))); err != nil {
			return
		}
	}
}
