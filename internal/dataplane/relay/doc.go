// Package relay holds what a node needs to pass HTTP requests and answers on:
// bodies that can be sent again, writers, and rules for headers. It makes no
// decisions about calls.
package relay
