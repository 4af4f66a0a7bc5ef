// Package message defines the messages between nodes. All are one-way: a request
// and its response are two independent messages. Package peer encodes them as
// JSON.
package message
