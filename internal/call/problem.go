package call

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ContentTypeProblem is the media type of RFC 9457.
const ContentTypeProblem = "application/problem+json"

// Problem holds the problem details of a failed call. It is an error.
type Problem struct {
	Type   ProblemType `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail,omitempty"`
	// Ran tells whether the call ran on an upstream.
	Ran Ran `json:"ran"`
	// RetryAfterMs is the delay in milliseconds after which to retry; 0 means
	// that a retry does not help.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Err is the cause; it is not shown to callers.
	Err error `json:"-"`
}

// Error returns the title and detail, without the cause.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

// Unwrap returns the cause, or nil.
func (p *Problem) Unwrap() error { return p.Err }

// Write sends the problem as the HTTP response. Retry-After is rounded up to whole
// seconds.
func (p *Problem) Write(w http.ResponseWriter) {
	body, err := json.Marshal(p)
	if err != nil {
		body = []byte("{}")
	}
	h := w.Header()
	h.Set("Content-Type", ContentTypeProblem)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderRan, string(p.Ran))
	if p.RetryAfterMs > 0 {
		h.Set("Retry-After", strconv.FormatInt((p.RetryAfterMs+999)/1000, 10))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// statusClientClosedRequest is the nonstandard status for a call whose caller has
// closed the connection. The caller cannot receive it; logs and metrics show the
// problem type.
const statusClientClosedRequest = 499

// defaultRetryAfter is the delay after which a temporary condition, such as an
// overloaded upstream or a joining node, may have passed.
const defaultRetryAfter = 500 * time.Millisecond

// NewProblem returns a problem with the status, title and retry delay of its
// type. Callers see detail but not err.
func NewProblem(t ProblemType, ran Ran, detail string, err error) *Problem {
	attributes := attributesByType[t]
	return &Problem{Type: t, Title: attributes.title, Status: attributes.status, Detail: detail, Ran: ran, RetryAfterMs: attributes.retryAfter.Milliseconds(), Err: err}
}

var attributesByType = map[ProblemType]problemAttributes{
	ProblemBadRequest:      {http.StatusBadRequest, "malformed call", 0},
	ProblemNoRoute:         {http.StatusNotFound, "no route matches", 0},
	ProblemNotReady:        {http.StatusServiceUnavailable, "the node is joining", defaultRetryAfter},
	ProblemConfigBehind:    {http.StatusServiceUnavailable, "the node is behind the required version", defaultRetryAfter},
	ProblemNoUpstream:      {http.StatusServiceUnavailable, "no upstream is available", defaultRetryAfter},
	ProblemOverloaded:      {http.StatusServiceUnavailable, "the upstream is overloaded", defaultRetryAfter},
	ProblemDeadline:        {http.StatusGatewayTimeout, "the deadline has passed", 0},
	ProblemUpstreamFailed:  {http.StatusBadGateway, "the upstream failed", defaultRetryAfter},
	ProblemOutcomeUnknown:  {http.StatusBadGateway, "the outcome is unknown", 0},
	ProblemKeyRequired:     {http.StatusBadRequest, "an idempotency key issued by a node is required", 0},
	ProblemKeyReused:       {http.StatusUnprocessableEntity, "the idempotency key belongs to another request", 0},
	ProblemKeyRefused:      {http.StatusConflict, "the call was refused earlier and will not run under this idempotency key", 0},
	ProblemQuarantined:     {http.StatusUnprocessableEntity, "the request crashed upstreams", 0},
	ProblemUpstreamLeaving: {http.StatusServiceUnavailable, "the upstream is leaving", defaultRetryAfter},
	ProblemDepthExceeded:   {http.StatusLoopDetected, "calls are nested too deep", 0},
	ProblemAnswerNotKept:   {http.StatusGone, "the call ran and its answer is no longer held", 0},
	ProblemCanceled:        {statusClientClosedRequest, "the caller left", 0},
	ProblemTargetMismatch:  {http.StatusMisdirectedRequest, "the node does not serve the target", defaultRetryAfter},
}
