package listener

import (
	"context"
	"net"

	"github.com/filbertpier/filbertpier/internal/disconnect"
	"github.com/filbertpier/filbertpier/internal/intake"
	"github.com/filbertpier/filbertpier/internal/pipeline"
)

// ConnContext passes a client's connection on to its calls, for http.Server.ConnContext:
// they charge memory to it, see when the client leaves, and know the calls sent ahead of
// them. It leaves out what the connection does not support.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	ctx = pipeline.ConnContext(ctx, c)
	ctx = intake.ConnContext(ctx, c)
	return disconnect.ConnContext(ctx, c)
}
