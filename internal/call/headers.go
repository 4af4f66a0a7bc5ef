package call

// Headers of calls and answers.
const (
	// HeaderRank names the rank; the route's rank is used without it.
	HeaderRank = "Filbertpier-Rank"
	// HeaderDeadline is the time left in milliseconds.
	HeaderDeadline = "Filbertpier-Deadline"
	// HeaderVersion is the version that an answer was served under, and the
	// oldest one that a call accepts.
	HeaderVersion = "Filbertpier-Version"
	// HeaderDepth counts the calls that led to this one.
	HeaderDepth = "Filbertpier-Depth"
	// HeaderRetry is "1" on an attempt that is a retry and on the calls nested
	// in it; they are not tried again, so that attempts do not multiply.
	HeaderRetry = "Filbertpier-Retry"
	// HeaderRan tells whether the call ran: no, yes or unknown.
	HeaderRan = "Filbertpier-Ran"
	// HeaderTarget names the VM beside whose upstream a call is to run; set by
	// the entry node.
	HeaderTarget = "Filbertpier-Target"
	// HeaderIdempotencyKey identifies a non-idempotent call.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderExpires is the deadline by the entry node's clock, in Unix
	// milliseconds; set by the entry node on calls with an idempotency key.
	HeaderExpires = "Filbertpier-Expires"
	// HeaderOwner is set on answers that the owner of the idempotency key has
	// decided; it holds the boot of the owner's process.
	HeaderOwner = "Filbertpier-Owner"
	// HeaderLoad holds running and waiting calls, slots, and 1 if the upstream
	// is leaving; set by the node beside the upstream on answers to nodes.
	HeaderLoad = "Filbertpier-Load"
	// HeaderCall identifies one attempt between two nodes; the answer repeats it.
	HeaderCall = "Filbertpier-Call"
	// HeaderPrefix is shared by the headers that only nodes may set on answers.
	HeaderPrefix = "Filbertpier-"
)

// KeysPath is where nodes issue idempotency keys.
const KeysPath = "/.well-known/filbertpier/keys"
