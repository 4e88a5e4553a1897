package server

import (
	"runtime"

	"github.com/heathervane/heathervane/entry/process/watcher"
)

// status returns the response body of /status.
func (v *Server) status() watcher.Status {
	s := watcher.Status{
		ID: v.settings.ID, Zone: v.settings.Zone, Boot: v.boot, Seat: -1, Holds: []string{},
		Running: v.drainer.Running(), Waiting: v.dispatcher.Waiting(), Cancels: v.canceller.Pending(),
	}
	if seat, ok := v.coordinator.Seat(); ok {
		s.Seat = seat
	}
	view := v.view.Load()
	if view == nil {
		return s
	}
	s.Version = view.Version
	for _, u := range view.Upstreams() {
		if v.coordinator.Holds(u.Name) {
			s.Holds = append(s.Holds, u.Name)
		}
	}
	return s
}

// registerGauges registers the metrics whose values are read at each scrape.
func (v *Server) registerGauges() error {
	values := map[string]func() int64{
		"requests.running": func() int64 { return int64(v.drainer.Running()) },
		"requests.waiting": func() int64 { return int64(v.dispatcher.Waiting()) },
		"bodies.bytes":     func() int64 { return v.bodies.Used() },
		"cancels.pending":  func() int64 { return int64(v.canceller.Pending()) },
		"goroutines":       func() int64 { return int64(runtime.NumGoroutine()) },
		"configuration.version": func() int64 {
			if view := v.view.Load(); view != nil {
				return int64(view.Version)
			}
			return 0
		},
	}
	for name, value := range values {
		if err := v.meter.Gauge(name, value); err != nil {
			return err
		}
	}
	return nil
}
