package pipeline

import "bytes"

// maxHeadBytes bounds the head of a request that is split off.
const maxHeadBytes = 16 << 10

var (
	headEnd = []byte("\r\n\r\n")
	getLine = []byte("GET ")
	// fieldsOfOthers begin header lines, in lower case, of requests that are not split
	// off: they have a body or change the protocol.
	fieldsOfOthers = [][]byte{[]byte("\ncontent-length"), []byte("\ntransfer-encoding"), []byte("\nexpect"), []byte("\nupgrade"), []byte("\nconnection")}
)

// couldBeHead reports whether data may be the beginning of a GET request that is not
// there in full.
func couldBeHead(data []byte) bool {
	n := min(len(data), len(getLine))
	return bytes.Equal(data[:n], getLine[:n]) && !bytes.Contains(data, headEnd)
}

// leadingHead returns the length of the request at the beginning of data if it is a GET
// request without a body that is there in full; otherwise zero.
func leadingHead(data []byte) int {
	if !bytes.HasPrefix(data, getLine) {
		return 0
	}
	end := bytes.Index(data, headEnd)
	if end < 0 || end > maxHeadBytes {
		return 0
	}
	if bytes.Count(data[:end], []byte{'\n'}) != bytes.Count(data[:end], []byte("\r\n")) {
		// net/http also ends lines, and so heads, at a newline alone.
		return 0
	}
	lower := bytes.ToLower(data[:end])
	for _, field := range fieldsOfOthers {
		if bytes.Contains(lower, field) {
			return 0
		}
	}
	return end + len(headEnd)
}
