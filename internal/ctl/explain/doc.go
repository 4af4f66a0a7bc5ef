// Package explain builds the timeline of one request from the logs of several
// nodes.
package explain
