// Package runtime carries out the effects of a control.Agent: it connects the
// agent to the clock, the transport, the platform and the log.
package runtime
