package admin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// HeaderTotal is the response header with the number of members that match a
// query, over all pages.
const HeaderTotal = "Filbertpier-Total"

// maxConcurrentScrapes bounds concurrent requests for /metrics.
const maxConcurrentScrapes = 4

// NewHandler returns the HTTP handler of the administration API. /metrics exposes
// the given registry; the other paths show the state of node.
func NewHandler(node Node, registry *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes, Timeout: writeTimeout}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { serveReady(w, node) })
	mux.HandleFunc("GET /v1/health", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, healthOf(node.Status(), node.Refused()))
	})
	mux.HandleFunc("GET /v1/readiness", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, node.Readiness()) })
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, node.Status()) })
	mux.HandleFunc("GET /v1/version", func(w http.ResponseWriter, _ *http.Request) { serveVersion(w, node) })
	mux.HandleFunc("GET /v1/refused", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, node.Refused()) })
	mux.HandleFunc("GET /v1/limits", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, node.Limits()) })
	mux.HandleFunc("GET /v1/peers", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, peersOf(node.Members(), node.Neighbours()))
	})
	mux.HandleFunc("GET /v1/members", func(w http.ResponseWriter, r *http.Request) { serveMembers(w, r, node) })
	mux.HandleFunc("PUT /v1/log-level/{level}", func(w http.ResponseWriter, r *http.Request) { serveLogLevel(w, r, node) })
	return mux
}

// Paths returns the paths of the API, for tests that check that no other
// listener serves them.
func Paths() []string {
	return []string{"/metrics", "/healthz", "/readyz", "/v1/health", "/v1/readiness", "/v1/status", "/v1/version", "/v1/refused",
		"/v1/limits", "/v1/peers", "/v1/members", "/v1/log-level/debug"}
}

func serveReady(w http.ResponseWriter, node Node) {
	if r := node.Readiness(); !r.Ready {
		writeJSON(w, http.StatusServiceUnavailable, r)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func serveVersion(w http.ResponseWriter, node Node) {
	v, ok := node.Version()
	if !ok {
		writeJSON(w, http.StatusNotFound, Readiness{Reasons: []string{ReasonNoVersion}})
		return
	}
	writeJSON(w, http.StatusOK, v)
}

func serveMembers(w http.ResponseWriter, r *http.Request, node Node) {
	page, total := parseMemberQuery(r.URL.Query()).page(node.Members())
	w.Header().Set(HeaderTotal, strconv.Itoa(total))
	writeJSON(w, http.StatusOK, page)
}

func serveLogLevel(w http.ResponseWriter, r *http.Request, node Node) {
	if !node.SetLogLevel(r.PathValue("level")) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeJSON encodes v before it writes the status, so that an encoding error
// yields status 500 instead of a truncated response with a success status.
func writeJSON(w http.ResponseWriter, status int, v any) {
	var b bytes.Buffer
	if err := json.NewEncoder(&b).Encode(v); err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b.Bytes())
}
