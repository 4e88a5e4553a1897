package server

import (
	"time"

	"github.com/heathervane/heathervane/entry/process/coordinator"
	"github.com/heathervane/heathervane/entry/process/deduplicator"
	"github.com/heathervane/heathervane/entry/version/viewer"
	"github.com/heathervane/heathervane/library/folder"
	"github.com/heathervane/heathervane/library/recorder"
)

// configure puts a state of the configuration in force.
func (v *Server) configure(s folder.State) {
	if s.Version == 0 {
		return
	}
	view := viewer.New(s.Version, s.Manifest, func(kind, name string) bool { return s.IsOut(recorder.Target(kind), name) })
	if was := v.view.Swap(view); was == nil || was.Version != view.Version {
		v.log.Info().Uint64("version", view.Version).Msg("configuration in force")
	}
	v.meter.Count("configuration.changes", 1)
	v.deduplicator.SetLimits(deduplicator.Limits{Window: time.Duration(view.Manifest.Window), MaxClockSkew: deduplicator.DefaultMaxClockSkew})
	v.coordinator.Configure(upstreams(view), view.Manifest.Seats)
	if err := v.dispatcher.Configure(view); err != nil {
		v.log.Error().Err(err).Msg("the configuration could not be put in force")
	}
}

// upstreams are those in service and those out: what still runs at one that is
// out must be counted until it has ended.
func upstreams(v *viewer.View) []coordinator.Upstream {
	var us []coordinator.Upstream
	for _, u := range v.Upstreams() {
		us = append(us, coordinator.Upstream{
			Name: u.Name, Address: u.Address, Zone: u.Zone, Slots: u.Slots, Cold: u.Cold, Memory: u.Memory, Out: u.OutOfService,
			Longest: longest(v, u),
		})
	}
	return us
}

// longest is the longest time that a request of an upstream may take: so long
// what a dead VM left at a plain service may still run.
func longest(v *viewer.View, u viewer.Upstream) time.Duration {
	if u.Service != "" {
		return time.Duration(v.Manifest.Services[u.Service].Most)
	}
	most := time.Duration(0)
	for _, c := range v.Manifest.Classes {
		most = max(most, time.Duration(c.Most))
	}
	return most
}

// isOut tells whether operators have taken this VM or its zone out.
func (v *Server) isOut() bool {
	view := v.view.Load()
	if view == nil {
		return false
	}
	return view.OutOfService(viewer.KindVM, v.settings.ID) || view.OutOfService(viewer.KindZone, v.settings.Zone)
}

// configured is the readiness of the configuration.
func (v *Server) configured() (bool, string) { return v.follower.Ready() }

// coordinated is the readiness of lending.
func (v *Server) coordinated() (bool, string) {
	if v.view.Load() == nil {
		return true, ""
	}
	return v.coordinator.Ready()
}

// serving is the readiness to take work.
func (v *Server) serving() (bool, string) {
	if v.leaving.Load() {
		return false, "leaving"
	}
	if v.isOut() {
		return false, "out of service"
	}
	return true, ""
}
