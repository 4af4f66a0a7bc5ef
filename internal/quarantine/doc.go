// Package quarantine identifies requests that crash upstreams, and decides which
// of them may still run. It takes the time as an argument and does not depend on
// a transport.
package quarantine
