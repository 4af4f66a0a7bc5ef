package config

// CallerLimits bounds what a caller may send and how long its connection may
// stay idle. Zero fields set no bound.
type CallerLimits struct {
	MaxHeaderBytes  int64 `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes    int64 `json:"maxBodyBytes,omitempty"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs,omitempty"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs,omitempty"`
}
