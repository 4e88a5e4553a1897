package server

import (
	"slices"

	"github.com/heathervane/heathervane/entry/process/budgeter"
	"github.com/heathervane/heathervane/entry/process/quarantiner"
)

// mayRunTrial reports whether this VM may run a quarantined request once on
// trial. One of the live VMs is chosen by a hash, so that a trial costs one
// upstream.
func (v *Server) mayRunTrial(f quarantiner.Fingerprint) bool {
	vms := []string{v.settings.ID}
	for _, m := range v.coordinator.Members() {
		vms = append(vms, m.VM)
	}
	slices.Sort(vms)
	return budgeter.Quota(1, "trial "+f.String(), v.settings.ID, slices.Compact(vms)) > 0
}
