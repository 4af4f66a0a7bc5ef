package strictjson

import (
	"bytes"
	"fmt"
	"strings"
)

// maxDepth bounds nesting. The parser recurses once per level, so a megabyte of
// brackets would overflow the stack. Documents and settings need five levels.
const maxDepth = 32

// excessNestingOffset returns the offset of the first bracket that is nested
// deeper than maxDepth, or -1. It ignores brackets in strings and comments.
func excessNestingOffset(raw []byte) int {
	depth := 0
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '"':
			i = skipString(raw, i)
		case '/':
			i = skipComment(raw, i)
		case '{', '[':
			if depth++; depth > maxDepth {
				return i
			}
		case '}', ']':
			depth--
		}
	}
	return -1
}

// skipString returns the offset of the quote that ends the string at i, or an
// offset beyond the text if the string is not terminated.
func skipString(raw []byte, i int) int {
	for i++; i < len(raw) && raw[i] != '"'; i++ {
		if raw[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment at i, i if there
// is no comment, or len(raw) if the comment is not terminated.
func skipComment(raw []byte, i int) int {
	var end []byte
	switch text := raw[i:]; {
	case bytes.HasPrefix(text, []byte("//")):
		end = []byte("\n")
	case bytes.HasPrefix(text, []byte("/*")):
		end = []byte("*/")
	default:
		return i
	}
	length := bytes.Index(raw[i+2:], end)
	if length < 0 {
		return len(raw)
	}
	return i + 2 + length + len(end) - 1
}

// errorLine returns the line at which the parser stopped, or 1 if it is unknown.
// The parser reports the line only in its error text.
func errorLine(err error) int {
	var line int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d,", &line); n != 1 {
		return 1
	}
	return line
}

// parentPointer returns the JSON pointer without its last token.
func parentPointer(pointer string) string {
	if i := strings.LastIndexByte(pointer, '/'); i >= 0 {
		return pointer[:i]
	}
	return ""
}
