package router

import (
	"strconv"
	"time"
)

// SecondaryTerm is how long a VM is the secondary VM of an upstream. It exceeds
// the usual delay of reports, so that a VM sees what the secondary VM before it
// has sent.
const SecondaryTerm = 300 * time.Millisecond

// AssignPrimaries returns the primary VM of each upstream, chosen by rendezvous
// hashing with balanced counts: the numbers of upstreams per VM differ by at most
// one. Without balancing, some VM could be the primary of none and would have to
// wait for other VMs' upstreams with everything it sends. Engines reserved for
// long prompts and the other engines are assigned by separate calls. All VMs with
// the same lists compute the same result.
func AssignPrimaries(vms, upstreams []string) map[string]string {
	primaries := make(map[string]string, len(upstreams))
	if len(vms) == 0 {
		return primaries
	}
	perVM := len(upstreams) / len(vms)
	evenlyAssigned := perVM * len(vms)
	count := make(map[string]int, len(vms))
	for i, u := range rankByScore("", upstreams) {
		limit := perVM
		if i >= evenlyAssigned {
			limit++
		}
		v := highestScore(u, vms, func(v string) bool { return count[v] < limit })
		count[v]++
		primaries[u] = v
	}
	return primaries
}

// SecondaryAt returns the secondary VM of an upstream at the given time: the VM
// that may use it besides its primary, or "" if there is no other. The other VMs
// alternate in pseudo-random order. VMs whose clocks differ slightly disagree
// only for that difference.
func SecondaryAt(now time.Time, vms []string, upstream, primary string) string {
	term := strconv.FormatInt(now.UnixNano()/int64(SecondaryTerm), 36)
	return highestScore(term+"\x00"+upstream, vms, func(v string) bool { return v != primary })
}

// highestScore returns the VM with the highest score for a key among those that
// pass.
func highestScore(key string, vms []string, pass func(string) bool) string {
	var best uint64
	var name string
	for _, v := range vms {
		if !pass(v) {
			continue
		}
		if s := score(key, v); name == "" || s > best || (s == best && v < name) {
			best, name = s, v
		}
	}
	return name
}
