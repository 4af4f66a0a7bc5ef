package config

const (
	// MaxSectionBytes is the largest section in bytes: the platform's
	// configuration service holds values up to one megabyte.
	MaxSectionBytes = 1_000_000
	// MaxSections bounds the number of sections of one document.
	MaxSections = 4096
	// MaxTimeoutMs bounds the timeout of a route in milliseconds.
	MaxTimeoutMs = 600_000
)
