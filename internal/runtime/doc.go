// Package runtime connects a control.Agent to the clock, the transport, the
// platform and the logs.
package runtime
