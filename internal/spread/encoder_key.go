package spread

// encoderKey names encoders that may replace each other: an encoder keeps its
// window, its level and whether it uses a dictionary.
type encoderKey struct {
	window  int
	fastest bool
	dict    bool
}
