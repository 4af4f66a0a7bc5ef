package call

// Headers of calls and responses.
const (
	// HeaderRank names the rank of a call; it defaults to the route's rank.
	HeaderRank = "Filbertpier-Rank"
	// HeaderDeadline is the time until the deadline in milliseconds.
	HeaderDeadline = "Filbertpier-Deadline"
	// HeaderVersion is the configuration version that a response was served
	// under, and the oldest one that a call accepts.
	HeaderVersion = "Filbertpier-Version"
	// HeaderDepth is the number of calls that a call is nested in.
	HeaderDepth = "Filbertpier-Depth"
	// HeaderRetry is "1" on a retry and on the calls nested in it. Such nested
	// calls are retried only after an attempt that put no load on any upstream,
	// so that attempts do not multiply.
	HeaderRetry = "Filbertpier-Retry"
	// HeaderRan is a Ran: whether the call ran on an upstream.
	HeaderRan = "Filbertpier-Ran"
	// HeaderTarget names the VM on whose upstream a call is to run; set by the
	// entry node.
	HeaderTarget = "Filbertpier-Target"
	// HeaderIdempotencyKey identifies a non-idempotent call.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderExpires is the deadline by the entry node's clock, in Unix
	// milliseconds; set by the entry node on calls with an idempotency key.
	HeaderExpires = "Filbertpier-Expires"
	// HeaderOwner is set on responses of the node that owns the idempotency key.
	// It holds the start time of the owner's process in Unix milliseconds.
	HeaderOwner = "Filbertpier-Owner"
	// HeaderLoad is set by the node beside the upstream on responses to other
	// nodes. It holds the numbers of running calls, waiting calls and slots.
	// Package dataplane appends 1 if the upstream is leaving, else 0. Package
	// mesh appends the backlog of the VM's link in milliseconds, the rate of the
	// link in bytes per second and the upstream's limit of calls per second.
	HeaderLoad = "Filbertpier-Load"
	// HeaderCall identifies one attempt between two nodes; the response echoes it.
	HeaderCall = "Filbertpier-Call"
	// HeaderPrefix is the prefix of headers that only nodes may set on responses;
	// they are removed from the responses of upstreams.
	HeaderPrefix = "Filbertpier-"
)

// KeysPath is the path at which nodes issue idempotency keys.
const KeysPath = "/.well-known/filbertpier/keys"
