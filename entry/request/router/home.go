package router

import (
	"strconv"
	"time"
)

// SecondaryTerm is how long a VM is the guest of an upstream. It exceeds the usual lag
// of reports, so that a guest sees what the guest before it has sent.
const SecondaryTerm = 300 * time.Millisecond

// AssignPrimaries gives for each upstream the VM whose home it is, by rendezvous hashing
// with equal parts: no VM has more than one home more than another. With parts
// left to chance some VM would have no home at all, and wait at others' for
// all it sends. Engines set apart for long prompts and the rest are each
// shared out by a call of their own. All VMs with the same lists agree.
func AssignPrimaries(vms, upstreams []string) map[string]string {
	homes := make(map[string]string, len(upstreams))
	if len(vms) == 0 {
		return homes
	}
	room := len(upstreams) / len(vms)
	whole := room * len(vms)
	count := make(map[string]int, len(vms))
	for i, u := range ranked("", upstreams) {
		most := room
		if i >= whole {
			most++
		}
		v := highest(u, vms, func(v string) bool { return count[v] < most })
		count[v]++
		homes[u] = v
	}
	return homes
}

// SecondaryAt gives the VM that may use an upstream beside its home at that time:
// each of the others in turn, in no fixed order, or "" where there are none.
// VMs whose clocks differ by a little agree but for that little.
func SecondaryAt(now time.Time, vms []string, upstream, home string) string {
	turn := strconv.FormatInt(now.UnixNano()/int64(SecondaryTerm), 36)
	return highest(turn+"\x00"+upstream, vms, func(v string) bool { return v != home })
}

// highest gives the VM with the highest score for a key among those that pass.
func highest(key string, vms []string, pass func(string) bool) string {
	var most uint64
	var name string
	for _, v := range vms {
		if !pass(v) {
			continue
		}
		if s := score(key, v); name == "" || s > most || (s == most && v < name) {
			most, name = s, v
		}
	}
	return name
}
