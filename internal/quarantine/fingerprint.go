package quarantine

// Fingerprint identifies a request; repeated copies of a request share it.
type Fingerprint [16]byte
