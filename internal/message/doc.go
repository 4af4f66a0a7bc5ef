// Package message defines the messages between nodes. All are one-way; a
// request and its answer are two messages. The JSON encoding is applied at the
// edge by package peer.
package message
