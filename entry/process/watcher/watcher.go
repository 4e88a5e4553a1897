// Package watcher serves the HTTP endpoints by which operators and the
// platform's load balancer monitor a process: liveness, readiness with its
// reasons, metrics and status. It is read-only.
package watcher

import (
	"encoding/json"
	"net/http"
	"strings"
)

// A ReadinessCheck reports whether a part of the process is ready and, if not,
// why. A part that is ready may also give a reason if it is degraded.
type ReadinessCheck func() (ready bool, reason string)

// Status is the response body of /status.
type Status struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Boot    uint64 `json:"boot"`
	Version uint64 `json:"version"`
	Ready   bool   `json:"ready"`
	Reason  string `json:"reason,omitempty"`
	// Seat is the number of this VM's fixed share, or -1 if it has none.
	Seat int `json:"seat"`
	// Holds lists the upstreams that this VM holds.
	Holds []string `json:"holds"`
	// Running and Waiting are the numbers of running and waiting requests on
	// this VM.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Cancels is the number of streams whose cancel is not confirmed by the
	// engine.
	Cancels int `json:"cancels"`
}

// A Handler serves the watch address.
type Handler struct {
	checks []ReadinessCheck
	status func() Status
	mux    *http.ServeMux
}

// New returns a Handler. The process is ready if all checks are.
func New(metrics http.Handler, status func() Status, checks ...ReadinessCheck) *Handler {
	w := &Handler{checks: checks, status: status, mux: http.NewServeMux()}
	w.mux.HandleFunc("GET /livez", w.serveLive)
	w.mux.HandleFunc("GET /readyz", w.serveReady)
	w.mux.HandleFunc("GET /status", w.serveStatus)
	w.mux.Handle("GET /metrics", metrics)
	return w
}

// ServeHTTP implements http.Handler.
func (w *Handler) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

// Ready reports whether all parts are ready, and the reasons that they give. If
// any part is not ready, only the reasons of such parts are returned.
func (w *Handler) Ready() (ready bool, reason string) {
	var failures, warnings []string
	for _, check := range w.checks {
		ok, reason := check()
		switch {
		case !ok:
			failures = append(failures, reason)
		case reason != "":
			warnings = append(warnings, reason)
		}
	}
	if len(failures) > 0 {
		return false, strings.Join(failures, "; ")
	}
	return true, strings.Join(warnings, "; ")
}

func (w *Handler) serveLive(rw http.ResponseWriter, _ *http.Request) {
	rw.Write([]byte("live\n"))
}

func (w *Handler) serveReady(rw http.ResponseWriter, _ *http.Request) {
	ok, reason := w.Ready()
	if !ok {
		rw.WriteHeader(http.StatusServiceUnavailable)
		rw.Write([]byte(reason + "\n"))
		return
	}
	rw.Write([]byte("ready\n"))
}

func (w *Handler) serveStatus(rw http.ResponseWriter, _ *http.Request) {
	s := w.status()
	s.Ready, s.Reason = w.Ready()
	rw.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(rw).Encode(s); err != nil {
		return
	}
}
