// Package disconnect detects that the client of an HTTP request has closed its
// connection where net/http does not. net/http reads from the connection only once
// the request body is read to its end, and in a goroutine of its own: until then, and
// until that goroutine first runs, the request's context does not end.
package disconnect
