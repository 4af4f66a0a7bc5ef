package dataplane

import (
	"github.com/filbertpier/filbertpier/internal/call"
	"github.com/filbertpier/filbertpier/internal/dataplane/relay"
	"github.com/filbertpier/filbertpier/internal/intake"
)

// readBody reads the part of the request body that is kept for further attempts, if
// there is memory for it. Errors are of type *call.Problem.
func (x *exchange) readBody() error {
	client := intake.FromContext(x.r.Context())
	if err := client.Charge(relay.BufferSize(x.r)); err != nil {
		x.w.Header().Set("Connection", "close")
		return call.NewProblem(call.ProblemOverloaded, call.RanNo, "the node has no memory for the request body", err)
	}
	return client.ReadBody(func() (err error) {
		x.body, err = relay.ReadBody(x.r)
		return err
	})
}
