// Package upstream is a stand-in for an upstream: a server with a number of
// slots that delays and echoes each call, counts calls and crashes on request.
// Only tests, benchmarks and demonstrations use it.
package upstream
