package link

// Route configures one forwarded address in the input of fplink.
type Route struct {
	Listen string `json:"listen"`
	Target string `json:"target"`
	// Delays maps the IP address of a client to its one-way delay in
	// microseconds; other clients have no delay.
	Delays map[string]int64 `json:"delaysUs"`
}
