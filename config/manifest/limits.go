package manifest

import "github.com/filbertpier/filbertpier/config"

const (
	// MaxEnvelopeBytes bounds an encoded envelope, which is stored as one value
	// of the platform's configuration service.
	MaxEnvelopeBytes = config.MaxSectionBytes
	// maxSignatures bounds the signatures of an envelope, one for each lead.
	// Peers forward envelopes, so unbounded signatures would cost bandwidth on
	// every hop.
	maxSignatures = 2
)
