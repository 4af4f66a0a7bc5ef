package strictjson

// Problem is one mismatch between a text and the struct it is decoded into.
type Problem struct {
	// Pointer is the JSON pointer (RFC 6901) of the value.
	Pointer string
	// Line is the line in the text, counted from 1.
	Line   int
	Rule   Rule
	Detail string
}
