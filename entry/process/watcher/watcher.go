// Package watcher serves what operators and the platform's balancer watch a
// process by: whether it lives, whether it is ready and why not, its metrics,
// and its status. It changes nothing.
package watcher

import (
	"encoding/json"
	"net/http"
	"strings"
)

// A ReadinessCheck tells whether a part of the process is ready, and why not. A part that
// is ready may give a reason too, where it does not work as it should.
type ReadinessCheck func() (ready bool, reason string)

// Status is what /status shows.
type Status struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Boot    uint64 `json:"boot"`
	Version uint64 `json:"version"`
	Ready   bool   `json:"ready"`
	Reason  string `json:"reason,omitempty"`
	// Seat is the number of this VM's fixed share, -1 where it has none.
	Seat int `json:"seat"`
	// Holds are the upstreams that this VM holds.
	Holds []string `json:"holds"`
	// Running and Waiting are requests in progress here.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Cancels are streams whose engines have not confirmed their end.
	Cancels int `json:"cancels"`
}

// A Handler serves the watch address.
type Handler struct {
	checks []ReadinessCheck
	status func() Status
	mux    *http.ServeMux
}

// New returns a Watcher. All checks must be ready for the process to be.
func New(metrics http.Handler, status func() Status, checks ...ReadinessCheck) *Handler {
	w := &Handler{checks: checks, status: status, mux: http.NewServeMux()}
	w.mux.HandleFunc("GET /livez", w.live)
	w.mux.HandleFunc("GET /readyz", w.ready)
	w.mux.HandleFunc("GET /status", w.show)
	w.mux.Handle("GET /metrics", metrics)
	return w
}

// ServeHTTP serves one request.
func (w *Handler) ServeHTTP(rw http.ResponseWriter, q *http.Request) { w.mux.ServeHTTP(rw, q) }

// Ready tells whether all parts are ready, with every reason that they give.
// Once one is not, the reasons of those that are stay out.
func (w *Handler) Ready() (ready bool, reason string) {
	var against, beside []string
	for _, check := range w.checks {
		ok, reason := check()
		switch {
		case !ok:
			against = append(against, reason)
		case reason != "":
			beside = append(beside, reason)
		}
	}
	if len(against) > 0 {
		return false, strings.Join(against, "; ")
	}
	return true, strings.Join(beside, "; ")
}

func (w *Handler) live(rw http.ResponseWriter, _ *http.Request) {
	rw.Write([]byte("live\n"))
}

func (w *Handler) ready(rw http.ResponseWriter, _ *http.Request) {
	ok, reason := w.Ready()
	if !ok {
		rw.WriteHeader(http.StatusServiceUnavailable)
		rw.Write([]byte(reason + "\n"))
		return
	}
	rw.Write([]byte("ready\n"))
}

func (w *Handler) show(rw http.ResponseWriter, _ *http.Request) {
	s := w.status()
	s.Ready, s.Reason = w.Ready()
	rw.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(rw).Encode(s); err != nil {
		return
	}
}
