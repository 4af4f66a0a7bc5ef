package once

// Config configures a Table. Zero fields take the defaults.
type Config struct {
	// MaxKeys bounds the keys in the table; with more, new keys are refused.
	MaxKeys int
	// MaxTotalResponseBytes bounds the kept answers in bytes; beyond it an answer is not
	// kept and repeated calls learn only that the call ran.
	MaxTotalResponseBytes int
}

func (c Config) withDefaults() Config {
	if c.MaxKeys == 0 {
		c.MaxKeys = DefaultMaxKeys
	}
	if c.MaxTotalResponseBytes == 0 {
		c.MaxTotalResponseBytes = DefaultMaxTotalResponseBytes
	}
	return c
}
