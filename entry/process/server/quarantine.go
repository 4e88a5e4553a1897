package server

import (
	"slices"

	"github.com/heathervane/heathervane/entry/process/budgeter"
	"github.com/heathervane/heathervane/entry/process/quarantiner"
)

// mayTry says that this VM may run a held request once: one of those that live, by a
// hash, so that a trial costs one upstream.
func (v *Server) mayTry(f quarantiner.Fingerprint) bool {
	vms := []string{v.settings.ID}
	for _, m := range v.coordinator.Members() {
		vms = append(vms, m.VM)
	}
	slices.Sort(vms)
	return budgeter.Quota(1, "trial "+f.String(), v.settings.ID, slices.Compact(vms)) > 0
}
