package call

import (
	"net/http"
	"strconv"
	"time"

	"github.com/filbertpier/filbertpier/config"
	"github.com/filbertpier/filbertpier/snapshot"
)

// MaxDepth bounds the nesting of calls. The deepest call tree in use has 28
// levels.
const MaxDepth = 32

// Call holds the properties of a call that routing, admission and retries use.
type Call struct {
	Route *config.Route
	Rank  *config.Rank
	// Deadline is when the caller no longer needs a response.
	Deadline time.Time
	// SoftDeadline is when the response starts to lose value for the caller; zero
	// if unknown.
	SoftDeadline time.Time
	// Expires is the deadline by the entry node's clock; zero unless an entry
	// node has set it. Deadline is counted from when the call is read, so only
	// Expires reveals a call that was delayed before, for example while this
	// process was paused.
	Expires time.Time
	// Key is the idempotency key, or empty.
	Key string
	// Version is the oldest configuration version that the call accepts.
	Version snapshot.ID
	// Depth is the number of calls that this one is nested in.
	Depth int
	// WithinRetry is set if the call, or one that it is nested in, is a retry.
	WithinRetry bool
	// Caller is nil if the call runs even after its caller has left.
	Caller Caller
}

// Parse matches a request to a route of doc and reads its headers, except for
// the version. Errors are *Problem.
func Parse(now time.Time, r *http.Request, doc *config.Document) (*Call, error) {
	route, ok := doc.Match(r.Host, r.Method, r.URL.Path)
	if !ok {
		return nil, NewProblem(ProblemNoRoute, RanNo, r.Method+" "+r.URL.Path, nil)
	}
	c := &Call{Route: route, Key: r.Header.Get(HeaderIdempotencyKey), WithinRetry: r.Header.Get(HeaderRetry) != ""}
	if err := c.parseRank(r, doc); err != nil {
		return nil, err
	}
	if err := c.parseDeadline(now, r); err != nil {
		return nil, err
	}
	return c, c.parseDepth(r)
}

func (c *Call) parseRank(r *http.Request, doc *config.Document) error {
	name := r.Header.Get(HeaderRank)
	if name == "" {
		name = c.Route.Rank
	}
	rank, ok := doc.Rank(name)
	if !ok {
		return NewProblem(ProblemBadRequest, RanNo, "unknown rank "+strconv.Quote(name), nil)
	}
	c.Rank = rank
	return nil
}

func (c *Call) parseDeadline(now time.Time, r *http.Request) error {
	timeoutMs := c.Route.TimeoutMs
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return NewProblem(ProblemBadRequest, RanNo, HeaderDeadline+" is not a number of milliseconds", err)
		}
		timeoutMs = min(timeoutMs, ms)
	}
	c.Deadline = now.Add(time.Duration(timeoutMs) * time.Millisecond)
	if text := r.Header.Get(HeaderExpires); text != "" && r.Header.Get(HeaderTarget) != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return NewProblem(ProblemBadRequest, RanNo, HeaderExpires+" is not a time", err)
		}
		c.Expires = time.UnixMilli(ms)
	}
	return nil
}

func (c *Call) parseDepth(r *http.Request) error {
	text := r.Header.Get(HeaderDepth)
	if text == "" {
		return nil
	}
	depth, err := strconv.Atoi(text)
	if err != nil || depth < 0 {
		return NewProblem(ProblemBadRequest, RanNo, HeaderDepth+" is not a number", err)
	}
	if depth > MaxDepth {
		return NewProblem(ProblemDepthExceeded, RanNo, "depth "+text, nil)
	}
	c.Depth = depth
	return nil
}

// ParseVersion reads the oldest configuration version that a call accepts; the
// zero ID means any. Errors are *Problem.
func ParseVersion(h http.Header) (snapshot.ID, error) {
	text := h.Get(HeaderVersion)
	if text == "" {
		return snapshot.ID{}, nil
	}
	id, err := snapshot.ParseID(text)
	if err != nil {
		return snapshot.ID{}, NewProblem(ProblemBadRequest, RanNo, HeaderVersion+" is not a version", err)
	}
	return id, nil
}
