package admin

import (
	"log"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/net/netutil"
)

const (
	// readTimeout bounds the reading of a request; the API uses no request bodies.
	readTimeout = 5 * time.Second
	// writeTimeout bounds a response; the largest are /metrics and /v1/members.
	writeTimeout   = 15 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 8 << 10
	maxBodyBytes   = 4 << 10
	// maxConnections bounds the connections to the listener, so that a scraper
	// that leaks them cannot exhaust the node's memory.
	maxConnections = 64
)

// NewServer returns a server for the API with timeouts and size limits.
// Connection errors are logged at debug level.
func NewServer(h http.Handler, logger hclog.Logger) *http.Server {
	return &http.Server{
		Handler:           http.MaxBytesHandler(h, maxBodyBytes),
		ReadTimeout:       readTimeout,
		ReadHeaderTimeout: readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          errorLog(logger),
	}
}

func errorLog(logger hclog.Logger) *log.Logger {
	return logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
}

// LimitConnections returns a listener that accepts at most maxConnections
// connections at a time; further ones wait in the operating system's backlog.
func LimitConnections(l net.Listener) net.Listener { return netutil.LimitListener(l, maxConnections) }
