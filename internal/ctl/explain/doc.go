// Package explain tells the story of one request from the logs of several
// nodes.
package explain
