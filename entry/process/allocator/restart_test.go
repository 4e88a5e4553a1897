package allocator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// answers is in what time a leader has heard all others, where none is lost.
const answers = 8 * time.Millisecond

// A leader that has just begun waits no longer than until all VMs have told what they
// have: after a restart of all, each change of the leader would cost every caller
// the whole time.
func TestLeaderPlacesOnceAllHaveTold(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z", "z"}, 2)
	n.place(2, answers)
}

// A VM whose word is lost must not stop the group.
func TestLeaderPlacesWithoutALostWord(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z", "z"}, 2)
	n.blocked[[2]int{3, 0}] = true
	n.place(2, soon)
}

// A place that the last leader gave while the next one began must be known to that
// one at once: it would take the engine for idle until the next whole report.
func TestPlaceOfTheLastLeaderIsCountedByTheNext(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z"}, 2)
	n.vms[2].unheard[0] = true
	o := n.vms[2].Submit(n.call())
	n.vms[2].unheard[0] = false
	n.run(answers)
	p, _ := o.Poll()
	assert.Assert(t, p != nil)
	assert.Equal(t, p.Leader, "vm1")
	assert.Equal(t, n.vms[0].streams(), 1)
}

// A leader that starts together with those that ask it has no list for some
// milliseconds. It must not be skipped for the next second, in which two would lead.
func TestLeaderThatStartsIsNotSkipped(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z"}, 2)
	n.vms[0].tracker.SetOutdated(true)
	o := n.vms[1].Submit(n.call())
	n.run(40 * time.Millisecond)
	n.vms[0].tracker.SetOutdated(false)
	n.run(40 * time.Millisecond)
	p, _ := o.Poll()
	assert.Assert(t, p != nil)
	assert.Equal(t, p.Leader, "vm0")
	assert.Assert(t, !n.passed)
}

// A leader whose list is too old long after its start is no use to anybody.
func TestLeaderWithoutAListIsSkippedLater(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z"}, 2)
	n.run(time.Second)
	n.vms[0].tracker.SetOutdated(true)
	p := n.place(2, soon)
	assert.Equal(t, p.Leader, "vm1")
}

// A report of a place comes after that of its end. An engine would seem to have a
// request that has ended, until the VM is taken for lost.
func TestReportThatComesAfterThePlacesEndIsNotCounted(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z"}, 2)
	n.vms[2].unheard[0] = true
	o := n.vms[2].Submit(n.call())
	n.vms[2].unheard[0] = false
	late := true
	n.spoil = func(d datagram) []datagram {
		if late && d.from == 2 && d.to == 0 {
			d.at = d.at.Add(30 * time.Millisecond)
		}
		return []datagram{d}
	}
	n.run(answers)
	p, _ := o.Poll()
	assert.Assert(t, p != nil)
	late = false
	p.Release()
	n.run(100 * time.Millisecond)
	assert.Equal(t, n.vms[0].streams(), 0)
}

// The report of a place's end is lost, and so is the next whole report.
func TestLostWordsOfAPlacesEndAreRepaired(t *testing.T) {
	n := newNetwork(t, []string{"z", "z", "z"}, 2)
	p := n.place(2, answers)
	n.run(time.Second)
	lost := true
	n.spoil = func(d datagram) []datagram {
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
