package call

// Headers of calls and answers.
const (
	// HeaderRank names the rank of a call; it defaults to the route's rank.
	HeaderRank = "Filbertpier-Rank"
	// HeaderDeadline is the time until the deadline in milliseconds.
	HeaderDeadline = "Filbertpier-Deadline"
	// HeaderVersion is the configuration version that an answer was served
	// under, and the oldest one that a call accepts.
	HeaderVersion = "Filbertpier-Version"
	// HeaderDepth is the number of calls that a call is nested in.
	HeaderDepth = "Filbertpier-Depth"
	// HeaderRetry is "1" on a retry and on the calls nested in it. These are
	// not retried, so that attempts do not multiply.
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
	// HeaderOwner is set on answers of the node that owns the idempotency key.
	// It holds the start time of the owner's process in Unix milliseconds.
	HeaderOwner = "Filbertpier-Owner"
	// HeaderLoad holds the numbers of running calls, waiting calls and slots.
	// Package dataplane appends 1 if the upstream is leaving or else 0, package
	// mesh the load of the link. The node beside the upstream sets it on
	// answers to other nodes.
	HeaderLoad = "Filbertpier-Load"
	// HeaderCall identifies one attempt between two nodes; the answer echoes it.
	HeaderCall = "Filbertpier-Call"
	// HeaderPrefix is the prefix of headers that only nodes may set on answers;
	// they are removed from the answers of upstreams.
	HeaderPrefix = "Filbertpier-"
)

// KeysPath is the path at which nodes issue idempotency keys.
const KeysPath = "/.well-known/filbertpier/keys"
