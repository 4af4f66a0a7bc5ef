// Package reports tells the nodes of a service which requests crash upstreams, with
// JSON-RPC 2.0 over the control ports of the nodes. Nodes of earlier builds do not
// know its methods and count as nodes that did not respond.
package reports
