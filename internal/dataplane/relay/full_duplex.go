package relay

import "net/http"

// AllowReadDuringResponse permits reading a request body while the response to it is
// written. Otherwise the HTTP server discards the unread part of the body before it
// writes the response: an upstream that answers early and is still sent that part
// would get it with bytes missing. It must be called before the response begins.
func AllowReadDuringResponse(w http.ResponseWriter) {
	// The error reports a ResponseWriter that does not discard bodies.
	_ = http.NewResponseController(w).EnableFullDuplex()
}
