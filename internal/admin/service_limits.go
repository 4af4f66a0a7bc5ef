package admin

// ServiceLimits is what the configuration allows an upstream of a service.
type ServiceLimits struct {
	Service     string `json:"service"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}
