package server

import (
	"time"

	"github.com/heathervane/heathervane/entry/process/coordinator"
	"github.com/heathervane/heathervane/entry/process/deduplicator"
	"github.com/heathervane/heathervane/entry/version/viewer"
	"github.com/heathervane/heathervane/library/folder"
	"github.com/heathervane/heathervane/library/recorder"
)

// configure applies a state of the configuration.
func (v *Server) configure(s folder.State) {
	if s.Version == 0 {
		return
	}
	view := viewer.New(s.Version, s.Manifest, func(kind, name string) bool { return s.IsOut(recorder.Target(kind), name) })
	if previous := v.view.Swap(view); previous == nil || previous.Version != view.Version {
		v.log.Info().Uint64("version", view.Version).Msg("configuration in force")
	}
	v.meter.Count("configuration.changes", 1)
	v.deduplicator.SetLimits(deduplicator.Limits{Window: time.Duration(view.Manifest.Window), MaxClockSkew: deduplicator.DefaultMaxClockSkew})
	v.coordinator.Configure(upstreams(view), view.Manifest.Seats)
	if err := v.dispatcher.Configure(view); err != nil {
		v.log.Error().Err(err).Msg("failed to apply configuration")
	}
}

// upstreams returns the upstreams in service and out of service: requests still
// running on an upstream that is out of service must be counted until they end.
func upstreams(v *viewer.View) []coordinator.Upstream {
	var us []coordinator.Upstream
	for _, u := range v.Upstreams() {
		us = append(us, coordinator.Upstream{
			Name: u.Name, Address: u.Address, Zone: u.Zone, Slots: u.Slots, Cold: u.Cold, Memory: u.Memory, Out: u.OutOfService,
			Longest: maxRequestTime(v, u),
		})
	}
	return us
}

// maxRequestTime returns the longest time that a request to an upstream may
// take. A request that a dead VM left at a plain service may still run for that
// long.
func maxRequestTime(v *viewer.View, u viewer.Upstream) time.Duration {
	if u.Service != "" {
		return time.Duration(v.Manifest.Services[u.Service].Most)
	}
	limit := time.Duration(0)
	for _, c := range v.Manifest.Classes {
		limit = max(limit, time.Duration(c.Most))
	}
	return limit
}

// outOfService reports whether operators have taken this VM or its zone out of
// service.
func (v *Server) outOfService() bool {
	view := v.view.Load()
	if view == nil {
		return false
	}
	return view.OutOfService(viewer.KindVM, v.settings.ID) || view.OutOfService(viewer.KindZone, v.settings.Zone)
}

// configurationReady is the readiness check of the configuration.
func (v *Server) configurationReady() (bool, string) { return v.follower.Ready() }

// coordinationReady is the readiness check of the coordination with other VMs.
func (v *Server) coordinationReady() (bool, string) {
	if v.view.Load() == nil {
		return true, ""
	}
	return v.coordinator.Ready()
}

// serviceReady fails while this VM is leaving or out of service.
func (v *Server) serviceReady() (bool, string) {
	if v.leaving.Load() {
		return false, "leaving"
	}
	if v.outOfService() {
		return false, "out of service"
	}
	return true, ""
}
