package quarantiner

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// trialTurn is how long each VM may start the trial of a held request before it is the
// next VM's turn. It includes a pause in which none may, so that the outcome of a trial is
// known before the next VM's turn.
const trialTurn = 2 * trialTimeout

// IsTrialTurn reports whether a VM may start the trial of a request that has been held for
// some time. The VMs take turns in an order that a hash gives. If all VMs that a VM
// reaches chose one of themselves, each side of a partition would crash an upstream with a
// trial of its own at the same time. vms must therefore include VMs that are not reachable
// now.
func IsTrialTurn(f Fingerprint, heldFor time.Duration, vm string, vms []string) bool {
	if heldFor < trialDelay || len(vms) == 0 || (heldFor-trialDelay)%trialTurn >= trialTimeout {
		return false
	}
	order := slices.Clone(vms)
	slices.SortFunc(order, func(a, b string) int {
		ha, hb := xxhash.Sum64String(f.String()+a), xxhash.Sum64String(f.String()+b)
		switch {
		case ha < hb:
			return -1
		case ha > hb:
			return 1
		}
		return 0
	})
	return order[int((heldFor-trialDelay)/trialTurn)%len(order)] == vm
}
