// Package intake bounds what clients make a process hold: the memory of their requests
// and responses, their connections, and the time for which a client that has stopped
// keeps either. One account covers all listeners of a process.
package intake
