package spread

// encoderKey holds the settings that an encoder keeps when it is reset. Encoders
// with equal keys are interchangeable.
type encoderKey struct {
	window  int
	fastest bool
	dict    bool
}
