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

const (
	// earlyTrialDelay is after how long parts may be told apart: until then, other VMs tell
	// what they know of the losses and of answers. earlyTrialTurn and earlyTrialWindow are
	// the turns of VMs, and for how long of each a trial may start.
	earlyTrialDelay  = 500 * time.Millisecond
	earlyTrialTurn   = time.Second
	earlyTrialWindow = 700 * time.Millisecond
	// earlyRetryAfter is when a request may return that waits for such a trial.
	earlyRetryAfter = earlyTrialTurn
)

// IsTrialTurn reports whether a VM may start the trial of a request that has been held for
// some time. The VMs take turns in an order that a hash gives. If all VMs that a VM
// reaches chose one of themselves, each side of a partition would crash an upstream with a
// trial of its own at the same time. vms must therefore include VMs that are not reachable
// now.
func IsTrialTurn(f Fingerprint, heldFor time.Duration, vm string, vms []string) bool {
	return hasTurn(f, heldFor-trialDelay, trialTurn, trialTimeout, vm, vms)
}

// IsEarlyTrialTurn reports the same of a trial that tells parts of prompts apart.
func IsEarlyTrialTurn(f Fingerprint, heldFor time.Duration, vm string, vms []string) bool {
	return hasTurn(f, heldFor-earlyTrialDelay, earlyTrialTurn, earlyTrialWindow, vm, vms)
}

// hasTurn reports whether it is a VM's turn, some time after the first turn began. Each turn
// begins with a window in which the VM may act.
func hasTurn(f Fingerprint, since, turn, window time.Duration, vm string, vms []string) bool {
	if since < 0 || len(vms) == 0 || since%turn >= window {
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
	return order[int(since/turn)%len(order)] == vm
}
