package peers

import (
	"context"
	"encoding/json"
)

// Method serves a JSON-RPC method of a Server. Its errors are sent to the caller as
// invalid parameters. It must be safe for concurrent use.
type Method func(ctx context.Context, params json.RawMessage) (any, error)
