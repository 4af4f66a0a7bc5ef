// Package notice keeps what an upstream says of itself in its responses: the
// limit of calls per second that it names, and the instance that it refuses to be.
// It takes the time as an argument and does not depend on a transport.
package notice
