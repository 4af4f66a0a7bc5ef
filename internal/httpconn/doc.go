// Package httpconn sends HTTP/1.1 requests over kept connections. Unlike
// net/http's transport it never sends a request twice, it tells whether a
// request can have reached the other side, and it skips answers that belong to
// an earlier request on the connection.
package httpconn
