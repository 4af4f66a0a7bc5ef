package httpconn

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/filbertpier/filbertpier/internal/responsehead"
)

const (
	// maxInlineBodyBytes is the largest body that is written before the response
	// is read. It fits into the socket buffers, so that the write completes even
	// if the server responds without reading the body.
	maxInlineBodyBytes = 16 << 10
	// maxStaleResponses is how many responses to earlier requests an exchange
	// skips before it fails.
	maxStaleResponses = 4
	// maxHeadBytes bounds the head of a response together with the interim
	// responses before it. A faulty server may send bytes without end.
	maxHeadBytes = 64 << 10
	// maxInterimResponses bounds the interim (1xx) responses to a request.
	maxInterimResponses = 100
	// maxStaleBytes bounds the body of a skipped response.
	maxStaleBytes = 1 << 20
	// copyBufferBytes is the largest chunk of a request body of unknown length.
	copyBufferBytes = 32 << 10
)

// aLongTimeAgo is a deadline that aborts pending reads and writes.
var aLongTimeAgo = time.Unix(1, 0)

// exchange is one request and its response on a connection.
type exchange struct {
	pool *Pool
	addr string
	conn *conn
	req  *Request
	ctx  context.Context
	// stop stops watching ctx; it returns false if ctx has already aborted the
	// connection.
	stop func() bool
	// bodyWritten receives the outcome of a body that is written concurrently, through
	// writer.
	bodyWritten chan error
	writer      bodyWriter
	// bodyHeld is set until the server asks for a body that is held back.
	bodyHeld bool
	// skippedStale is set if responses to earlier requests were skipped.
	skippedStale bool
}

// Do sends a request and returns the response once its header was read. ctx
// also bounds the reading of the body. The error is a *DialError if no
// connection could be opened, else a *BrokenError.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	c, err := p.acquire(ctx, addr)
	if err != nil {
		return nil, err
	}
	x := &exchange{pool: p, addr: addr, conn: c, req: req, ctx: ctx, writer: bodyWriter{conn: c.netConn}}
	deadline, _ := ctx.Deadline()
	_ = c.netConn.SetDeadline(deadline)
	x.stop = context.AfterFunc(ctx, func() { _ = c.netConn.SetDeadline(aLongTimeAgo) })
	resp, err := x.roundTrip()
	if err != nil {
		x.stop()
		c.abort()
		return nil, x.brokenError(err)
	}
	return resp, nil
}

// brokenError wraps err in a *BrokenError. If the context has ended, it wraps
// the cause of the context instead.
func (x *exchange) brokenError(err error) error {
	if cause := context.Cause(x.ctx); cause != nil {
		err = cause
	}
	return &BrokenError{Addr: x.addr, Reused: x.conn.reused, BodyHeld: x.bodyHeld, Err: err}
}

// roundTrip writes the request and reads the header of the response.
func (x *exchange) roundTrip() (*Response, error) {
	x.conn.expectHead()
	head := x.req.appendHead(make([]byte, 0, 1024))
	if !x.req.ExpectContinue && x.req.bodyBuffered() && len(x.req.Body) <= maxInlineBodyBytes {
		if _, err := x.conn.netConn.Write(append(head, x.req.Body...)); err != nil {
			return nil, err
		}
	} else {
		if _, err := x.conn.netConn.Write(head); err != nil {
			return nil, err
		}
		x.bodyWritten = make(chan error, 1)
		if x.bodyHeld = x.req.ExpectContinue; !x.bodyHeld {
			x.startBody()
		}
	}
	return x.readHead()
}

func (x *exchange) startBody() {
	go func() { x.bodyWritten <- x.writeBody() }()
}

// writeBody writes the request body. It returns io.EOF if the body is shorter than its
// announced length.
func (x *exchange) writeBody() error {
	if x.req.Length >= 0 {
		_, err := io.CopyN(&x.writer, x.req.bodyReader(), x.req.Length)
		return err
	}
	buf := make([]byte, copyBufferBytes)
	body := x.req.bodyReader()
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := fmt.Fprintf(&x.writer, "%x\r\n%s\r\n", n, buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			_, err = io.WriteString(&x.writer, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// readHead returns the first final response that belongs to the request. It sends
// the body if it was held back and the server asks for it.
func (x *exchange) readHead() (*Response, error) {
	defer x.conn.limiter.unlimit()
	x.conn.limiter.limit(maxHeadBytes)
	for skipped, interim := 0, 0; skipped <= maxStaleResponses; {
		resp, err := http.ReadResponse(x.conn.br, &http.Request{Method: x.req.Method})
		if err != nil {
			return nil, err
		}
		if err := x.validate(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 {
			if interim++; interim > maxInterimResponses {
				return nil, &HeadTooLargeError{}
			}
			if x.bodyHeld && resp.StatusCode == http.StatusContinue {
				x.bodyHeld = false
				x.startBody()
			}
			continue
		}
		if !x.mismatched(resp) {
			return x.newResponse(resp), nil
		}
		skipped++
		x.skippedStale = true
		x.conn.limiter.limit(maxStaleBytes)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return nil, &StaleError{ID: resp.Header.Get(x.pool.options.EchoHeader)}
		}
		x.conn.limiter.limit(maxHeadBytes)
		x.conn.expectHead()
	}
	return nil, &StaleError{}
}

// validate checks the head of a response. Errors are those of package responsehead.
func (x *exchange) validate(resp *http.Response) error {
	if err := responsehead.Validate(resp); err != nil {
		return err
	}
	return x.conn.limiter.scanner.Err()
}

// mismatched reports whether a response echoes the id of another request.
func (x *exchange) mismatched(resp *http.Response) bool {
	name := x.pool.options.EchoHeader
	if name == "" || x.req.ID == "" {
		return false
	}
	echo := resp.Header.Get(name)
	return echo != "" && echo != x.req.ID
}

func (x *exchange) newResponse(resp *http.Response) *Response {
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Body: &body{x: x, r: resp.Body, idleTimeout: x.idleTimeout(resp), unframed: isUnframed(resp)},
	}
}

// isUnframed reports whether a response has a body with neither a length nor chunks.
func isUnframed(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// idleTimeout returns how long the connection may stay idle after the response;
// zero or less if it must be closed.
func (x *exchange) idleTimeout(resp *http.Response) time.Duration {
	if resp.Close || x.skippedStale {
		return 0
	}
	idleTimeout := x.pool.options.IdleTimeout
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(text); err == nil {
				// The server's timeout starts before the response arrives here;
				// the last quarter is a margin for that.
				idleTimeout = min(idleTimeout, time.Duration(s)*time.Second*3/4)
			}
		}
	}
	return idleTimeout
}
