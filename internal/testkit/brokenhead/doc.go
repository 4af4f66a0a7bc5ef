// Package brokenhead holds responses whose heads are not valid in HTTP/1.1, and a
// stand-in for a faulty process that sends them.
package brokenhead
