package quarantiner_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/meter"
	"github.com/heathervane/heathervane/entry/process/quarantiner"
	"github.com/heathervane/heathervane/library/ticker"
)

const (
	// step is how finely the replay keeps time, crashAfter how long an upstream runs
	// the request before it crashes, and attempts how often a VM sends it.
	step       = 5 * time.Millisecond
	crashAfter = 100 * time.Millisecond
	attempts   = 2
	// spreading is how long VMs have to tell each other, mostAfter how often the
	// request may reach upstreams afterwards.
	spreading = 3 * time.Second
	mostAfter = 3
)

// A fleet is VMs of which each has a process or none, on a network that loses
// datagrams.
type fleet struct {
	now   time.Time
	draw  *rand.Rand
	loses float64
	alone bool
	vms   []*vm
	// stored are the records that the platform keeps.
	stored map[string]quarantiner.Record
	queue  []datagram
	runs   []run
	// crashes are the times at which upstreams were lost.
	crashes []time.Time
	sent    []time.Time
	boot    int64
}

type vm struct {
	f       *fleet
	member  allocator.Member
	ticker  *ticker.Ticker
	gossip  *gossiper.Gossiper
	keeps   *quarantiner.Quarantiner
	started time.Time
}

type datagram struct {
	from, to netip.AddrPort
	at       time.Time
	data     []byte
}

type run struct {
	vm   *vm
	at   time.Time
	left int
}

func (v *vm) Send(to netip.AddrPort, data []byte) error {
	if v.f.draw.Float64() >= v.f.loses && !v.f.alone {
		delay := time.Duration(1+v.f.draw.IntN(10)) * time.Millisecond
		v.f.queue = append(v.f.queue, datagram{v.member.Address, to, v.f.now.Add(delay), data})
	}
	return nil
}

func newReplay(seed uint64, vms int, loses float64) *fleet {
	f := &fleet{now: start, draw: rand.New(rand.NewPCG(seed, 1)), loses: loses, stored: map[string]quarantiner.Record{}}
	for range vms {
		f.join()
	}
	f.play(5*time.Second, 0)
	return f
}

// join adds a VM in one of three zones.
func (f *fleet) join() {
	i := len(f.vms)
	v := &vm{f: f, member: allocator.Member{
		VM: "vm" + strconv.Itoa(i), Zone: "z" + strconv.Itoa(i%3), Cores: 0.4,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000),
	}}
	f.vms = append(f.vms, v)
	v.start()
}

// start begins a new process of a VM. It reads what the platform keeps.
func (v *vm) start() {
	f := v.f
	now := func() time.Time { return f.now }
	f.boot++
	v.started = f.now
	v.ticker = ticker.New(now, step)
	v.gossip = gossiper.New(v.member, f.boot, v, func() map[string]gossiper.End { return nil }, now, zerolog.Nop())
	v.keeps = quarantiner.New(quarantiner.Deps{Meter: meter.New(), Now: now, Log: zerolog.Nop(), Broadcast: v.gossip.Spread, MayRunTrial: v.mayTry})
	v.gossip.Share(v.keeps, v.ticker)
	v.ticker.Subscribe(gossiper.BeatEvery, v.gossip.Tick)
	v.ticker.Subscribe(time.Second, func(time.Time) {
		held, _ := v.keeps.Reconcile()
		for _, r := range held {
			f.stored[r.Fingerprint.String()] = r
			v.keeps.MarkStored(r)
		}
	})
	for _, r := range f.stored {
		v.keeps.Restore(r)
	}
	for _, o := range f.vms {
		v.gossip.Meet(o.member)
	}
	v.gossip.Greet()
}

// mayTry has the first VM make trials.
func (v *vm) mayTry(quarantiner.Fingerprint) bool { return v == v.f.vms[0] }

// play lets time pass, in which the request comes so often a second at VMs drawn
// from those there are.
func (f *fleet) play(d time.Duration, rate float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		if f.draw.Float64() < rate*step.Seconds() {
			f.send(f.vms[f.draw.IntN(len(f.vms))], attempts)
		}
		for _, v := range f.vms {
			v.ticker.Tick()
		}
		f.deliver()
		f.crash()
	}
}

func (f *fleet) send(v *vm, left int) {
	if _, held := v.keeps.Arrived(one); held || left == 0 {
		return
	}
	f.sent = append(f.sent, f.now)
	f.runs = append(f.runs, run{v, f.now.Add(crashAfter), left - 1})
}

func (f *fleet) deliver() {
	due := f.queue[:0:0]
	var later []datagram
	for _, d := range f.queue {
		if d.at.After(f.now) {
			later = append(later, d)
			continue
		}
		due = append(due, d)
	}
	f.queue = later
	for _, d := range due {
		for _, v := range f.vms {
			if v.member.Address == d.to {
				v.gossip.Receive(d.from, d.data)
			}
		}
	}
}

func (f *fleet) crash() {
	runs := f.runs
	f.runs = nil
	for _, r := range runs {
		if f.now.Before(r.at) {
			f.runs = append(f.runs, r)
			continue
		}
		f.crashes = append(f.crashes, f.now)
		r.vm.keeps.Lost(one, "upstream-"+strconv.Itoa(len(f.crashes)), 0)
		f.send(r.vm, r.left)
	}
}

// after is how often the request was sent after VMs had the time to know of it.
func (f *fleet) after() int {
	if len(f.crashes) < 3 {
		return 0
	}
	n := 0
	for _, at := range f.sent {
		if at.Sub(f.crashes[2]) > spreading {
			n++
		}
	}
	return n
}

// VMs that each knew only of their own losses would each let the request crash
// some upstreams: as many as there are.
func TestVMsTogetherHoldWhatCrashesUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newReplay(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "vms"), rapid.Float64Range(0, 0.3).Draw(t, "lost datagrams"))
		rate := rapid.Float64Range(0.5, 5).Draw(t, "rate")
		f.play(6*time.Second, rate)
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				f.join()
			case 1:
				f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")].start()
			case 2:
				if len(f.stored) == 0 && len(f.crashes) >= 3 {
					// Before the platform keeps it, all that know of it must not end.
					continue
				}
				for _, v := range f.vms {
					v.start()
				}
			default:
			}
			pause := rapid.IntRange(500, 4000).Draw(t, "pause")
			if rapid.IntRange(0, 4).Draw(t, "until its trial") == 0 {
				pause += 32_000
			}
			f.play(time.Duration(pause)*time.Millisecond, rate)
		}
		if n := f.after(); n > mostAfter {
			t.Fatalf("sent %d times after it was known, %d upstreams lost", n, len(f.crashes))
		}
	})
}

// The replay finds the fault where VMs do not tell each other.
func TestReplayFailsWhereVMsKeepItToThemselves(t *testing.T) {
	f := newReplay(1, 7, 0)
	f.alone = true
	f.play(30*time.Second, 2)
	assert.Assert(t, f.after() > mostAfter, "sent %d times", f.after())
}

// A request that waits for a place while it is found out would go out with the next.
func TestWaitingRequestEndsOnceItIsHeld(t *testing.T) {
	q := quarantiner.New(quarantiner.Deps{Meter: meter.New(), Now: time.Now, Log: zerolog.Nop(), Broadcast: func() {}, MayRunTrial: nobody})
	waiting, release := q.CancelWhenHeld(t.Context(), one)
	defer release()
	beside, done := q.CancelWhenHeld(t.Context(), other)
	defer done()
	answered, ends := q.CancelWhenHeld(t.Context(), one)
	ends()
	for i := range 3 {
		q.Lost(one, "u"+strconv.Itoa(i), 1)
	}
	assert.Assert(t, errors.Is(context.Cause(waiting), quarantiner.ErrHeld))
	assert.NilError(t, beside.Err())
	assert.NilError(t, answered.Err())
}

// An upstream that starts again under its name and crashes again is another loss.
func TestEachRunOfAnUpstreamIsALoss(t *testing.T) {
	q := quarantiner.New(quarantiner.Deps{Meter: meter.New(), Now: time.Now, Log: zerolog.Nop(), Broadcast: func() {}, MayRunTrial: nobody})
	for born := range int64(3) {
		_, held := q.Held(one)
		assert.Assert(t, !held)
		q.Lost(one, "u", born+1)
		q.Lost(one, "u", born+1)
	}
	_, held := q.Held(one)
	assert.Assert(t, held)
}

// nobody may try a held request.
func nobody(quarantiner.Fingerprint) bool { return false }

// Datagrams are lost that tell that a held request was served after all. A VM that missed
// them would go on telling the others that it is held, once these have forgotten it.
func TestLiftedQuarantineStaysLifted(t *testing.T) {
	for seed := range uint64(20) {
		f := newReplay(seed, 9, 0)
		f.play(6*time.Second, 3)
		f.loses = 0.8
		v := f.vms[seed%9]
		v.keeps.Served(one)
		f.play(2*time.Second, 0)
		f.loses = 0.3
		f.play(60*time.Second, 0)
		for i, v := range f.vms {
			_, held := v.keeps.Held(one)
			assert.Assert(t, !held, "seed %d: held at VM %d", seed, i)
		}
	}
}
