package call

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ContentTypeProblem is the media type of RFC 9457.
const ContentTypeProblem = "application/problem+json"

// Problem is a failed call's outcome, as problem details. It is an error.
type Problem struct {
	Type   ProblemType `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail,omitempty"`
	// Ran tells whether the call ran.
	Ran Ran `json:"ran"`
	// RetryAfterMs is when to try again, in milliseconds from now; 0 means
	// that trying again does not help.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Err is the cause; it is not shown to callers.
	Err error `json:"-"`
}

func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

// Unwrap returns the cause, if any.
func (p *Problem) Unwrap() error { return p.Err }

// Write sends the problem as an HTTP answer.
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

// statusClientClosed is the customary status for a call whose caller left; the
// caller does not see it, logs and metrics do.
const statusClientClosed = 499

// retrySoon is the time after which an overloaded or joining node may have
// recovered.
const retrySoon = 500 * time.Millisecond

// NewProblem returns a problem with the status and title of its type.
func NewProblem(t ProblemType, ran Ran, detail string, err error) *Problem {
	k := problemKinds[t]
	return &Problem{Type: t, Title: k.title, Status: k.status, Detail: detail, Ran: ran, RetryAfterMs: k.retryAfter.Milliseconds(), Err: err}
}

var problemKinds = map[ProblemType]problemKind{
	ProblemBadRequest:       {http.StatusBadRequest, "malformed call", 0},
	ProblemNoRoute:          {http.StatusNotFound, "no route matches", 0},
	ProblemNotReady:         {http.StatusServiceUnavailable, "the node is joining", retrySoon},
	ProblemConfigBehind:     {http.StatusServiceUnavailable, "the node is behind the required version", retrySoon},
	ProblemNoUpstream:       {http.StatusServiceUnavailable, "no upstream is available", retrySoon},
	ProblemOverloaded:       {http.StatusServiceUnavailable, "the upstream is overloaded", retrySoon},
	ProblemDeadline:         {http.StatusGatewayTimeout, "the deadline has passed", 0},
	ProblemUpstreamFailed:   {http.StatusBadGateway, "the upstream failed", retrySoon},
	ProblemOutcomeUnknown:   {http.StatusBadGateway, "the outcome is unknown", 0},
	ProblemKeyRequired:      {http.StatusBadRequest, "an idempotency key issued by a node is required", 0},
	ProblemKeyReused:        {http.StatusUnprocessableEntity, "the idempotency key belongs to another request", 0},
	ProblemKeyRefused:       {http.StatusConflict, "the call was refused earlier and will not run under this idempotency key", 0},
	ProblemQuarantined:      {http.StatusUnprocessableEntity, "the request crashed upstreams", 0},
	ProblemUpstreamLeaving:  {http.StatusServiceUnavailable, "the upstream is leaving", retrySoon},
	ProblemDepthExceeded:    {http.StatusLoopDetected, "calls are nested too deep", 0},
	ProblemAnswerNotKept:    {http.StatusGone, "the call ran and its answer is no longer held", 0},
	ProblemCancelled:        {statusClientClosed, "the caller left", 0},
	ProblemTargetMismatched: {http.StatusMisdirectedRequest, "the node does not serve the target", retrySoon},
}
