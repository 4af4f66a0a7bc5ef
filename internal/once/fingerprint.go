package once

// Fingerprint identifies the content of a request, so that the response to one
// request is not returned for a different one sent with the same key.
type Fingerprint [32]byte
