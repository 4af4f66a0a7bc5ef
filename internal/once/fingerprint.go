package once

// Fingerprint identifies the content of a request, so that the answer to one
// request is not given to a different one sent with the same key.
type Fingerprint [32]byte
