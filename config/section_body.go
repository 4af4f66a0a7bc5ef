package config

// SectionBody is the decoded content of one section. Section and Owner repeat
// the name and the owner in the manifest and must equal them.
type SectionBody struct {
	Section  string        `json:"section"`
	Owner    string        `json:"owner"`
	Ranks    []Rank        `json:"ranks,omitempty"`
	Services []Service     `json:"services,omitempty"`
	Routes   []Route       `json:"routes,omitempty"`
	Retries  []RetryPolicy `json:"retries,omitempty"`
	// Callers is only set in bodies passed to CompileBody: strictjson does not
	// decode pointers, so it rejects the field in section texts.
	Callers *CallerLimits `json:"callers,omitempty"`
}
