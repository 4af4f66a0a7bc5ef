// Package message defines the messages between nodes. All are one-way: a request
// and its response are two independent messages. Their VM or From field identifies
// the sender. Package peer encodes them as JSON.
package message
