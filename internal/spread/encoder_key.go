package spread

// encoderKey identifies interchangeable encoders: an encoder keeps its window,
// its compression level and whether it uses a dictionary.
type encoderKey struct {
	window  int
	fastest bool
	dict    bool
}
