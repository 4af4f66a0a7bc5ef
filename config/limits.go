package config

const (
	// MaxSectionBytes is the largest section in bytes: the platform's
	// configuration service holds values up to one megabyte.
	MaxSectionBytes = 1_000_000
	// MaxDocumentBytes bounds the total size of a document's sections. A node
	// keeps four versions within its 64 MB of memory; four that share no
	// section take 16 MB as text and leave room for their compiled form.
	MaxDocumentBytes = 4_000_000
	// MaxSections bounds the number of sections of one document.
	MaxSections = 4096
	// MaxFaults bounds the faults and, separately, the warnings of a report.
	// Further faults are only counted, further warnings are dropped.
	MaxFaults = 1000
	// MaxCompileFaults bounds the faults that Compile returns: nodes keep the
	// faults of up to 64 refused versions within their 64 MB of memory.
	MaxCompileFaults = 200
	// MaxNameBytes bounds names: they appear in logs and as metric labels.
	MaxNameBytes = 64
	// MaxTimeoutMs bounds the timeout of a route in milliseconds.
	MaxTimeoutMs = 600_000
	// MaxTargetMs bounds the target latency of a rank in milliseconds.
	MaxTargetMs = MaxTimeoutMs
	// MaxBackoffMs bounds the backoff of a retry policy in milliseconds; longer
	// delays would exceed the deadlines of most calls.
	MaxBackoffMs = 60_000
	// MaxColdStartMs bounds the cold start of an upstream in milliseconds; an upstream
	// that takes longer than an hour does not start.
	MaxColdStartMs = 3_600_000
	// MaxSlots bounds the slots of one upstream.
	MaxSlots = 10_000
	// MaxConnections bounds the connections of one upstream: a client address has
	// about 64,000 TCP ports for connections to the same server address and port.
	MaxConnections = 60_000
	// MaxAttempts bounds the attempts of a retry policy.
	MaxAttempts = 10
)

// ReservedPrefix is the path prefix of the nodes' own endpoints.
const ReservedPrefix = "/.well-known/filbertpier"

// UndeclaredRankOrder is the Order of ranks that calls name but the document
// does not declare. It sorts after the declared ranks, provided that their
// orders are smaller, which Compile does not check.
const UndeclaredRankOrder = 1 << 20
