package link

// Route is one forwarded address, as fplink reads it.
type Route struct {
	Listen string `json:"listen"`
	Target string `json:"target"`
	// Delays maps the dialling IP to the one-way delay in microseconds; other
	// addresses have none.
	Delays map[string]int64 `json:"delaysUs"`
}
