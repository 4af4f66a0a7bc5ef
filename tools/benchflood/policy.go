package main

// policy is where and how the calls on an upstream are limited. Routing and
// retries are the same for all.
type policy string

const (
	// policyNode: the node beside the upstream limits and ranks calls.
	policyNode policy = "node"
	// policyFCFS: the upstream serves first come first served up to its
	// connections; senders do not limit.
	policyFCFS policy = "fcfs"
	// policyStatic: each sender has a fixed share of the connections and
	// ranks its own waiting calls.
	policyStatic policy = "static"
	// policyLearnt: each sender learns a limit from late and refused calls
	// (additive increase, multiplicative decrease) and ranks its own.
	policyLearnt policy = "learnt"
)

var policies = []policy{policyNode, policyFCFS, policyStatic, policyLearnt}

func (p policy) limitsAtSender() bool { return p == policyStatic || p == policyLearnt }
