package once

// Config configures a Table. Zero fields take the defaults.
type Config struct {
	// Keys bounds the keys in the table; with more, new keys are refused.
	Keys int
	// AnswerBytes bounds the kept answers in bytes; beyond it an answer is not
	// kept and repeated calls learn only that the call ran.
	AnswerBytes int
}

func (c Config) withDefaults() Config {
	if c.Keys == 0 {
		c.Keys = DefaultKeys
	}
	if c.AnswerBytes == 0 {
		c.AnswerBytes = DefaultAnswerBytes
	}
	return c
}
