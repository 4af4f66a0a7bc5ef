package relay

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/filbertpier/filbertpier/internal/call"
)

// PeerProblem returns the problem in another node's response. It returns nil if the
// call ran: the response is then passed on as it is, usually the upstream's. Nodes
// set call.HeaderRan on every response; if it is missing, another process now has
// the node's address.
func PeerProblem(resp *http.Response) *call.Problem {
	ran := call.Ran(resp.Header.Get(call.HeaderRan))
	if ran == call.RanYes {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	p := &call.Problem{}
	err := json.NewDecoder(io.LimitReader(resp.Body, maxProblemBytes)).Decode(p)
	if err != nil || p.Type == "" || p.Ran != ran || p.Status < http.StatusBadRequest || p.Status > 599 {
		return call.NewProblem(call.ProblemUpstreamFailed, call.RanUnknown, "the response is not from a node", err)
	}
	return p
}
