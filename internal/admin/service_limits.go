package admin

// ServiceLimits holds the limits that the configuration sets for each upstream of a
// service.
type ServiceLimits struct {
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}
