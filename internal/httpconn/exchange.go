package httpconn

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// inlineBody is the largest body that is written before the answer is
	// read. It fits into the socket buffers, so that the write ends although
	// the other side answers without reading.
	inlineBody = 16 << 10
	// maxStale bounds the answers of earlier requests that are skipped.
	maxStale = 4
	// copyBuffer is the size of the pieces of a body of unknown length.
	copyBuffer = 32 << 10
)

// aLongTimeAgo as a deadline ends pending reads and writes.
var aLongTimeAgo = time.Unix(1, 0)

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	addr string
	conn *conn
	req  *Request
	ctx  context.Context
	// stop ends the supervision of ctx; it returns false if ctx has ended the
	// connection.
	stop func() bool
	// written receives the outcome of a body that is written in parallel.
	written chan error
	// stale is set if answers of earlier requests were skipped.
	stale bool
}

// Do sends a request and returns the head of its answer. The context bounds
// the answer's body too. It returns a *DialError if nothing was sent, else a
// *BrokenError.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	c, err := p.acquire(ctx, addr)
	if err != nil {
		return nil, err
	}
	x := &exchange{pool: p, addr: addr, conn: c, req: req, ctx: ctx}
	deadline, _ := ctx.Deadline()
	_ = c.net.SetDeadline(deadline)
	x.stop = context.AfterFunc(ctx, func() { _ = c.net.SetDeadline(aLongTimeAgo) })
	resp, err := x.run()
	if err != nil {
		x.stop()
		c.close()
		return nil, x.broken(err)
	}
	return resp, nil
}

func (x *exchange) broken(err error) error {
	if cause := context.Cause(x.ctx); cause != nil {
		err = cause
	}
	return &BrokenError{Addr: x.addr, Reused: x.conn.used, Err: err}
}

func (x *exchange) run() (*Response, error) {
	head := x.req.appendHead(make([]byte, 0, 1024))
	if x.req.whole() && len(x.req.Body) <= inlineBody {
		if _, err := x.conn.net.Write(append(head, x.req.Body...)); err != nil {
			return nil, err
		}
	} else {
		if _, err := x.conn.net.Write(head); err != nil {
			return nil, err
		}
		x.written = make(chan error, 1)
		go func() { x.written <- x.writeBody() }()
	}
	return x.readHead()
}

func (x *exchange) writeBody() error {
	if x.req.Length >= 0 {
		_, err := io.Copy(x.conn.net, x.req.body())
		return err
	}
	buf := make([]byte, copyBuffer)
	body := x.req.body()
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := fmt.Fprintf(x.conn.net, "%x\r\n%s\r\n", n, buf[:n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			_, err = io.WriteString(x.conn.net, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// readHead returns the first final answer that belongs to the request.
func (x *exchange) readHead() (*Response, error) {
	for skipped := 0; skipped <= maxStale; {
		resp, err := http.ReadResponse(x.conn.br, &http.Request{Method: x.req.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if !x.foreign(resp) {
			return x.response(resp), nil
		}
		skipped++
		x.stale = true
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return nil, &StaleError{ID: resp.Header.Get(x.pool.options.EchoHeader)}
		}
	}
	return nil, &StaleError{}
}

// foreign reports whether an answer repeats the id of another request.
func (x *exchange) foreign(resp *http.Response) bool {
	name := x.pool.options.EchoHeader
	if name == "" || x.req.ID == "" {
		return false
	}
	echo := resp.Header.Get(name)
	return echo != "" && echo != x.req.ID
}

func (x *exchange) response(resp *http.Response) *Response {
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Body: &body{x: x, r: resp.Body, keep: x.keep(resp)},
	}
}

// keep returns how long the connection may be kept after the answer; zero if
// not at all.
func (x *exchange) keep(resp *http.Response) time.Duration {
	if resp.Close || x.stale {
		return 0
	}
	keep := x.pool.options.IdleTimeout
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(text); err == nil {
				// The other side counts from its own end of the answer.
				keep = min(keep, time.Duration(s)*time.Second*3/4)
			}
		}
	}
	return keep
}
