package admin

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// NewHandler returns the administration API.
func NewHandler(node Node, registry *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { serveReady(w, node) })
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, node.Status()) })
	mux.HandleFunc("GET /v1/members", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, node.Members()) })
	mux.HandleFunc("PUT /v1/log-level/{level}", func(w http.ResponseWriter, r *http.Request) { serveLogLevel(w, r, node) })
	return mux
}

func serveReady(w http.ResponseWriter, node Node) {
	if !node.Status().Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func serveLogLevel(w http.ResponseWriter, r *http.Request, node Node) {
	if !node.SetLogLevel(r.PathValue("level")) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
