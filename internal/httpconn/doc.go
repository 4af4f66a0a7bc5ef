// Package httpconn is an HTTP/1.1 client with pooled connections. Unlike the
// transport of net/http it never sends a request twice, its errors tell whether
// a request may have reached the server, and it skips responses that belong to
// an earlier request on the connection.
package httpconn
