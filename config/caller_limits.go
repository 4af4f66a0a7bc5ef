package config

// CallerLimits bounds the size of a caller's requests, the time it may take to
// send a request header and the time its connection may stay idle. A zero field
// sets no bound. Only MaxBodyBytes is enforced: fpsidecar refuses calls whose
// Content-Length exceeds it.
type CallerLimits struct {
	MaxHeaderBytes  int64 `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes    int64 `json:"maxBodyBytes,omitempty"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs,omitempty"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs,omitempty"`
}
