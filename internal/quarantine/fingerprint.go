package quarantine

// Fingerprint identifies a request and its resent copies.
type Fingerprint [16]byte
