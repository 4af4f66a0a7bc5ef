package settings

// Platform holds the address and the region of the platform.
type Platform struct {
	// URL is the base URL of the configuration service and the VM list.
	URL string `json:"url" validate:"required,ip_url"`
	// Region is the region that hosts the platform.
	Region string `json:"region" validate:"required"`
}
