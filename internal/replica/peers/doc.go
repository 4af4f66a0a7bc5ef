// Package peers lets nodes ask each other for published items: JSON-RPC 2.0
// over TCP, one connection for each question.
package peers
