package manifest

import "github.com/filbertpier/filbertpier/config"

const (
	// MaxEnvelopeBytes is the largest encoded envelope in bytes: it is one
	// value of the platform's configuration service.
	MaxEnvelopeBytes = config.MaxSectionBytes
	// maxSignatures bounds the signatures of an envelope. Peers pass envelopes
	// on, so unbounded extra signatures would multiply on the way.
	maxSignatures = 2
)
