// Command faultsoak runs fpsidecar as separate processes beside upstreams and
// callers of its own, injects faults from outside (signals, silent and cut
// connections, a store that is down, slow or forgetful, upstreams that crash,
// lose answers, shed calls or leave) and checks the promises from what callers
// and upstreams see. The schedule of a run follows from its seed.
package main
