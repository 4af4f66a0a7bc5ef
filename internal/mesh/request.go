package mesh

import (
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/internal/disconnect"
	"github.com/filbertpier/filbertpier/internal/httpconn"
	"github.com/filbertpier/filbertpier/internal/intake"
	"github.com/filbertpier/filbertpier/internal/uplink"
)

// request is a call that a node is serving.
type request struct {
	id     string
	method string
	// target is the path with the query, path the decoded path by which routes match.
	target, path string
	host         string
	header       http.Header
	// callerService is the service on whose VM the call began.
	callerService string
	body          []byte
	// bodyTail is the remainder of a body that is too large to buffer; such a
	// call is sent only once.
	bodyTail io.Reader
	length   int64
	// endsAtClose is set if a response of unknown length ends with the connection, as for
	// callers of HTTP/1.0.
	endsAtClose bool
	// responseBytes is the expected size of the response; zero if unknown.
	responseBytes int
	// otherRegion is set on calls from nodes in other regions.
	otherRegion bool

	arrived  time.Time
	deadline time.Time
	// due is when the response must be complete to meet the target latency; zero
	// if unknown.
	due time.Time
	// document is the configuration in which route was found when the call arrived.
	document *config.Document
	route    *config.Route
	rank     *config.Rank
	service  *config.Service
	// retrying is set on every attempt after the first.
	retrying bool
	rng      *rand.Rand
	// caller is the connection on which the call arrived, from a caller or from
	// another node. The memory that the call takes is charged to client, the same
	// connection.
	caller *disconnect.Conn
	client *intake.Conn
}

// newRequest decodes what requests from callers and from nodes have in common.
func newRequest(r *http.Request, names HeaderNames) *request {
	return &request{
		id: r.Header.Get(names.AttemptID), method: r.Method, target: r.URL.RequestURI(), path: r.URL.Path, host: r.Host,
		arrived: time.Now(), length: r.ContentLength, endsAtClose: !r.ProtoAtLeast(1, 1), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		caller: disconnect.FromContext(r.Context()), client: intake.FromContext(r.Context()),
	}
}

// outgoing returns the request to send, with its own copy of the header.
func (q *request) outgoing() *httpconn.Request {
	return &httpconn.Request{
		Method: q.method, Target: q.target, Host: q.host, Header: q.header.Clone(),
		ID: q.id, Body: q.body, BodyTail: q.bodyTail, Length: q.length,
	}
}

// largeBody reports whether the body is so large that the node beside the upstream
// schedules its reception.
func (q *request) largeBody() bool {
	return len(q.body) > uplink.SmallBodyBytes || q.bodyTail != nil
}

// idempotent reports whether the call may run more than once.
func (q *request) idempotent() bool { return q.route != nil && q.route.Idempotent }
