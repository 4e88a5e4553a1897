package allocator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// collectTime is the time within which a new leader gets the reports of all
// other VMs if none is lost.
const collectTime = 8 * time.Millisecond

// A new leader must place requests as soon as all VMs have reported. If it
// always waited for the timeout, each change of leader after a restart of all
// VMs would delay every caller by that time.
func TestLeaderPlacesOnceAllHaveReported(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z", "z"}, 2)
	n.acquire(2, collectTime)
}

// A VM whose report is lost must not block the group.
func TestLeaderPlacesWithoutALostReport(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z", "z"}, 2)
	n.blocked[[2]int{3, 0}] = true
	n.acquire(2, placementTime)
}

// A placement that the previous leader granted while the next one was taking
// over must be known to the next one at once. Otherwise it would consider the
// engine idle until the next full report.
func TestPlacementOfThePreviousLeaderIsCounted(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z"}, 2)
	n.vms[2].unreachable[0] = true
	o := n.vms[2].Submit(n.call())
	n.vms[2].unreachable[0] = false
	n.run(collectTime)
	p, _ := o.Poll()
	assert.Assert(t, p != nil)
	assert.Equal(t, p.Leader, "vm1")
	assert.Equal(t, n.vms[0].streams(), 1)
}

// A leader that starts at the same time as the VMs that use it has no list of
// upstreams for some milliseconds. It must not be skipped for the next second,
// in which two VMs would lead.
func TestStartingLeaderIsNotSkipped(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z"}, 2)
	n.vms[0].tracker.SetOutdated(true)
	o := n.vms[1].Submit(n.call())
	n.run(40 * time.Millisecond)
	n.vms[0].tracker.SetOutdated(false)
	n.run(40 * time.Millisecond)
	p, _ := o.Poll()
	assert.Assert(t, p != nil)
	assert.Equal(t, p.Leader, "vm0")
	assert.Assert(t, !n.leaderSkipped)
}

// All VMs start together, and the list of upstreams reaches the leader last, after the time
// within which a leader has to answer. The VMs must not use two leaders for the next second,
// as each would take the engines for idle that the other uses.
func TestLeaderThatStartsLateIsAwaited(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z"}, 2)
	n.vms[0].tracker.SetOutdated(true)
	o := n.vms[1].Submit(n.call())
	n.run(200 * time.Millisecond)
	n.vms[0].tracker.SetOutdated(false)
	n.run(50 * time.Millisecond)
	p, _ := o.Poll()
	assert.Assert(t, p != nil)
	assert.Equal(t, p.Leader, "vm0")
	assert.Assert(t, !n.leaderSkipped)
}

// All VMs start together, and one gets a request before it has the list of upstreams, or
// before it has heard from the others. It must not place it without the leader once it has the
// list, as all of them would then use the same engines.
func TestStartingVMDoesNotPlaceAlone(t *testing.T) {
	for name, prevent := range map[string]func(v *vm, starting bool){
		"no list": func(v *vm, starting bool) { v.tracker.SetOutdated(starting) },
		"no other VM heard": func(v *vm, starting bool) {
			v.unreachable[0], v.unreachable[1] = starting, starting
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(t, []string{"z", "z", "z"}, 2)
			v := n.vms[2]
			v.known = 3
			n.start(v, 2)
			prevent(v, true)
			o := v.Submit(n.call())
			n.run(100 * time.Millisecond)
			prevent(v, false)
			n.run(40 * time.Millisecond)
			p, _ := o.Poll()
			assert.Assert(t, p != nil)
			assert.Equal(t, p.Leader, "vm0")
		})
	}
}

// A VM that starts alone serves soon.
func TestVMThatStartsAlonePlaces(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z"}, 2)
	v := n.vms[2]
	v.known = 3
	n.start(v, 2)
	v.unreachable[0], v.unreachable[1] = true, true
	p := n.acquire(2, 350*time.Millisecond)
	assert.Equal(t, p.Leader, "")
}

// A request whose time is short must not wait for such a leader until it is late.
func TestUrgentRequestDoesNotAwaitAStartingLeader(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z"}, 2)
	n.vms[0].tracker.SetOutdated(true)
	call := n.call()
	call.Requirements.Objective = n.now.Add(200 * time.Millisecond)
	o := n.vms[2].Submit(call)
	n.run(190 * time.Millisecond)
	p, _ := o.Poll()
	assert.Assert(t, p != nil)
	assert.Equal(t, p.Leader, "vm1")
}

// A leader whose list is outdated long after its start must be skipped.
func TestLeaderWithAnOutdatedListIsSkipped(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z"}, 2)
	n.run(time.Second)
	n.vms[0].tracker.SetOutdated(true)
	p := n.acquire(2, placementTime)
	assert.Equal(t, p.Leader, "vm1")
}

// The report of a placement arrives after the report of its release. If it were
// counted, the engine would seem to have a request until the VM is considered
// lost.
func TestLateReportOfAReleasedPlacementIsIgnored(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z"}, 2)
	n.vms[2].unreachable[0] = true
	o := n.vms[2].Submit(n.call())
	n.vms[2].unreachable[0] = false
	late := true
	n.tamper = func(d datagram) []datagram {
		if late && d.from == 2 && d.to == 0 {
			d.at = d.at.Add(30 * time.Millisecond)
		}
		return []datagram{d}
	}
	n.run(collectTime)
	p, _ := o.Poll()
	assert.Assert(t, p != nil)
	late = false
	p.Release()
	n.run(100 * time.Millisecond)
	assert.Equal(t, n.vms[0].streams(), 0)
}

// The report of a placement's release is lost, and so is the next full report.
func TestLostReleaseReportsAreRepaired(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z"}, 2)
	p := n.acquire(2, collectTime)
	n.run(time.Second)
	lost := true
	n.tamper = func(d datagram) []datagram {
		if lost && d.from == 2 && d.to == 0 {
			return nil
		}
		return []datagram{d}
	}
	p.Release()
	n.run(700 * time.Millisecond)
	lost = false
	n.run(600 * time.Millisecond)
	assert.Equal(t, n.vms[0].streams(), 0)
}
