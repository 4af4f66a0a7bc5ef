package once

// Config configures a Table. Zero fields take the defaults.
type Config struct {
	// MaxKeys limits the keys in the table. The shards get equal parts of it, and
	// a full shard rejects new keys.
	MaxKeys int
	// MaxTotalResponseBytes limits the total size of the kept response bodies, in
	// equal parts per shard. A response beyond it is not kept, and repeated calls
	// learn only that the call ran.
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
