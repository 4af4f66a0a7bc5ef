// Command faultsoak runs fpsidecar as separate processes beside upstreams and
// callers of its own and injects faults from outside: signals, silent and closed
// connections, a store that is down, slow or compacted, and upstreams that crash,
// drop responses, shed calls or drain. It checks the nodes' guarantees by what
// callers and upstreams observe. The seed determines the schedule of a run.
package main
