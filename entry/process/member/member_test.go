package member_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/member"
	"github.com/heathervane/heathervane/library/lister"
)

var epoch = time.Unix(1_000_000, 0)

func newTable() *member.Table {
	return member.New(member.Config{
		VM: "a", Zone: "z", Address: "a:1", Boot: 10,
		SuspectAfter: 1500 * time.Millisecond, GoneAfter: 2500 * time.Millisecond, AbsentAfter: 15 * time.Second,
	})
}

func memberState(t *testing.T, m *member.Table, now time.Time, vm string) member.State {
	t.Helper()
	for _, o := range m.Members(now) {
		if o.VM == vm {
			return o.State
		}
	}
	t.Fatalf("%s is not known", vm)
	return 0
}

func TestStateByTimeSinceHeartbeat(t *testing.T) {
	m := newTable()
	m.ReceiveHeartbeat(epoch, member.Heartbeat{VM: "b", Boot: 5, Address: "b:1"})
	tests := []struct {
		after time.Duration
		state member.State
	}{
		{0, member.Live},
		{time.Second, member.Live},
		{1500 * time.Millisecond, member.Suspect},
		{2500 * time.Millisecond, member.Gone},
	}
	for _, test := range tests {
		assert.Equal(t, memberState(t, m, epoch.Add(test.after), "b"), test.state, "after %v", test.after)
	}
	m.ReceiveHeartbeat(epoch, member.Heartbeat{VM: "b", Boot: 5, Leaving: true})
	assert.Equal(t, memberState(t, m, epoch, "b"), member.Leaving)
}

// Only the path from b to a is broken. c has received heartbeats from b, so a must not
// take over b's upstreams: they would move back and forth while the path is broken.
func TestRelayedHeartbeatKeepsVMLive(t *testing.T) {
	m := newTable()
	m.ReceiveHeartbeat(epoch, member.Heartbeat{VM: "b", Boot: 5})
	now := epoch.Add(10 * time.Second)
	m.ReceiveHeartbeat(now, member.Heartbeat{VM: "c", Boot: 6, Heard: []member.HeardVM{{VM: "b", Boot: 5, AgeMillis: 100}}})
	assert.Assert(t, m.IsLive(now, "b", 5))
	// A heartbeat that c received long ago does not count.
	now = now.Add(10 * time.Second)
	m.ReceiveHeartbeat(now, member.Heartbeat{VM: "c", Boot: 6, Heard: []member.HeardVM{{VM: "b", Boot: 5, AgeMillis: 5000}}})
	assert.Assert(t, !m.IsLive(now, "b", 5))
}

// A VM is replaced under the same name. The old process may still send heartbeats, for
// example after a pause, and must not be taken for the new one.
func TestHeartbeatOfReplacedProcessIsIgnored(t *testing.T) {
	m := newTable()
	m.ApplyList(epoch, []lister.VM{{ID: "b", Address: "b:1"}})
	m.ReceiveHeartbeat(epoch, member.Heartbeat{VM: "b", Boot: 5})
	m.ReceiveHeartbeat(epoch, member.Heartbeat{VM: "b", Boot: 6})
	m.ReceiveHeartbeat(epoch, member.Heartbeat{VM: "b", Boot: 5, Leaving: true})
	assert.Assert(t, m.IsLive(epoch, "b", 6))
	assert.Assert(t, !m.IsLive(epoch, "b", 5))
	assert.Assert(t, m.IsAbsent(epoch, "b", 5))
	assert.Assert(t, !m.IsAbsent(epoch, "b", 6))
	assert.Equal(t, memberState(t, m, epoch, "b"), member.Live)
}

// A VM that is known only by its claim counts as live until GoneAfter, which leaves time
// for its first heartbeats, and no longer.
func TestClaimantIsLiveUntilGoneAfter(t *testing.T) {
	m := newTable()
	m.AddClaimant(epoch, "b", "z", "b:1", 5)
	assert.Assert(t, m.IsLive(epoch, "b", 5))
	assert.Equal(t, len(member.HeartbeatPeers("a", m.Members(epoch), 3, 1)), 1)
	later := epoch.Add(3 * time.Second)
	assert.Assert(t, !m.IsLive(later, "b", 5))
	m.AddClaimant(later, "b", "z", "b:2", 4) // a late record of an earlier process
	assert.Assert(t, !m.IsLive(later, "b", 5))
	m.AddClaimant(later, "b", "z", "b:2", 6)
	assert.Assert(t, m.IsLive(later, "b", 6))
	assert.Assert(t, !m.IsLive(later, "b", 5))
}

// A dead VM's seat, and what it left at engines, are freed once IsAbsent holds. Too
// early, that cuts off a VM that is only slow to appear on the list or is unreachable.
func TestIsAbsent(t *testing.T) {
	listed := []lister.VM{{ID: "b", Address: "b:1"}}
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	tests := []struct {
		name   string
		do     func(m *member.Table)
		at     int
		absent bool
	}{
		{"no list yet", func(*member.Table) {}, 100, false},
		{"listed", func(m *member.Table) { m.ApplyList(epoch, listed) }, 10_000, false},
		{"never listed, list new", func(m *member.Table) { m.ApplyList(epoch, nil) }, 14, false},
		{"never listed", func(m *member.Table) { m.ApplyList(epoch, nil) }, 15, true},
		{"just left", func(m *member.Table) { m.ApplyList(epoch, listed); m.ApplyList(at(1), nil) }, 15, false},
		{"left", func(m *member.Table) { m.ApplyList(epoch, listed); m.ApplyList(at(1), nil) }, 16, true},
		{"left and heard", func(m *member.Table) {
			m.ApplyList(epoch, nil)
			m.ReceiveHeartbeat(at(20), member.Heartbeat{VM: "b", Boot: 5})
		}, 25, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newTable()
			test.do(m)
			assert.Equal(t, m.IsAbsent(at(test.at), "b", 5), test.absent)
		})
	}
}

// The loss of a VM must move only the upstreams that it held.
func TestPreferredHolderMovesOnlyUpstreamsOfDeadVM(t *testing.T) {
	var members []member.Member
	for i := range 8 {
		members = append(members, member.Member{VM: fmt.Sprintf("v%d", i), Boot: 1})
	}
	moved, held := 0, map[string]int{}
	for i := range 1000 {
		name := fmt.Sprintf("e%d", i)
		before, _ := member.PreferredHolder(name, members)
		after, _ := member.PreferredHolder(name, members[1:])
		held[before]++
		if before != after && before != "v0" {
			moved++
		}
	}
	assert.Equal(t, moved, 0)
	for vm, n := range held {
		assert.Assert(t, n > 70 && n < 190, "%s holds %d of 1000", vm, n)
	}
}

func TestHeartbeatPeersAreLimitedInLargeFleet(t *testing.T) {
	var members []member.Member
	for i := range 330 {
		members = append(members, member.Member{VM: fmt.Sprintf("v%d", i), Address: "x:1", Boot: 1})
	}
	assert.Equal(t, len(member.HeartbeatPeers("v0", members[:8], 3, 1)), 7)
	assert.Equal(t, len(member.HeartbeatPeers("v0", members, 3, 1)), 3)
}
