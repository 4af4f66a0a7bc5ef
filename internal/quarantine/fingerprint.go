package quarantine

// Fingerprint identifies a request; retries of the request share it.
type Fingerprint [16]byte
