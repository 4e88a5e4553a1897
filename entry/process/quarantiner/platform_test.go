package quarantiner_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/quarantiner"
)

// platform is a platform that takes its time to store records or is away.
type platform struct {
	fleet *fleet
	// latency is how long it takes to store a record, and away drops all calls.
	latency time.Duration
	away    bool
	// records are those stored, by VM and request, calls those in progress, and reads
	// those that VMs have yet to read.
	records map[recordKey]quarantiner.Record
	calls   []call
	reads   []read
	// unread are the runs of VMs that started while the platform was away.
	unread []*vm
}

type recordKey struct {
	vm          string
	fingerprint quarantiner.Fingerprint
}

// A call is a call to store records. run is the run of the VM that made it.
type call struct {
	vm      *vm
	run     *quarantiner.Quarantiner
	records []quarantiner.Record
	doneAt  time.Time
}

type read struct {
	run    *quarantiner.Quarantiner
	record quarantiner.Record
	at     time.Time
}

// readLag is how long after a record was stored all VMs have read it.
const readLag = 1300 * time.Millisecond

func newPlatform(f *fleet) *platform {
	return &platform{fleet: f, records: make(map[recordKey]quarantiner.Record)}
}

// put starts a call to store records. It fails if the platform is away.
func (p *platform) put(v *vm, rs []quarantiner.Record) {
	if len(rs) == 0 || p.away {
		return
	}
	p.calls = append(p.calls, call{v, v.quarantine, rs, p.fleet.now.Add(p.latency)})
}

// restore has a VM that starts read all records.
func (p *platform) restore(v *vm) {
	if p.away {
		p.unread = append(p.unread, v)
		return
	}
	for k, r := range p.records {
		if k.vm == v.member.VM {
			v.quarantine.RestoreOwn(r)
		} else {
			v.quarantine.Restore(r)
		}
	}
}

func (p *platform) advance(now time.Time) {
	calls := p.calls
	p.calls = nil
	for _, c := range calls {
		if now.Before(c.doneAt) {
			p.calls = append(p.calls, c)
			continue
		}
		if p.away {
			continue
		}
		for _, r := range c.records {
			k := recordKey{c.vm.member.VM, r.Fingerprint}
			if r.IsHeld() {
				k.vm = ""
			}
			p.records[k] = r
			c.run.MarkStored(r)
			for _, v := range p.fleet.vms {
				p.reads = append(p.reads, read{v.quarantine, r, now.Add(readLag)})
			}
		}
	}
	unread := p.unread
	p.unread = nil
	for _, v := range unread {
		p.restore(v)
	}
	reads := p.reads
	p.reads = nil
	for _, r := range reads {
		if now.Before(r.at) || p.away {
			p.reads = append(p.reads, r)
			continue
		}
		r.run.Restore(r.record)
	}
}

// mayRestart reports whether a VM that does not restart holds the request, or there is
// nothing to know yet. While the platform is away, nobody else can tell those that do.
func (f *fleet) mayRestart(restarting ...*vm) bool {
	if !f.platform.away || len(f.crashes) == 0 {
		return true
	}
	return slices.ContainsFunc(f.vms, func(v *vm) bool {
		_, held := v.quarantine.Held(request)
		return held && !slices.Contains(restarting, v)
	})
}

// VMs start again, join and are cut off from each other while the platform takes its time
// or is away for a while. What one VM knows must reach the others by either way.
func TestVMsHoldRequestWhilePlatformIsSlowOrAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "vms"), rapid.Float64Range(0, 0.3).Draw(t, "lost datagrams"))
		f.platform = newPlatform(f)
		f.platform.latency = time.Duration(rapid.SampledFrom([]int{5, 50, 200, 500, 2000}).Draw(t, "latency")) * time.Millisecond
		rate := rapid.Float64Range(0.5, 5).Draw(t, "rate")
		f.advance(6*time.Second, rate)
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				f.addVM()
			case 1:
				v := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")]
				if !f.mayRestart(v) {
					continue
				}
				v.start()
			case 2:
				if !f.mayRestart(f.vms...) {
					continue
				}
				for _, v := range f.vms {
					v.start()
				}
			case 3:
				f.platform.away = !f.platform.away && f.isCut == nil
			case 4:
				if f.platform.away {
					// VMs that reach neither each other nor the platform cannot know.
					continue
				}
				f.cut(rapid.IntRange(1, 4).Draw(t, "sides"))
			default:
			}
			pause := rapid.IntRange(500, 4000).Draw(t, "pause")
			if rapid.IntRange(0, 4).Draw(t, "until its trial") == 0 {
				pause += 32_000
			}
			f.advance(time.Duration(pause)*time.Millisecond, rate)
		}
		if n := f.lateSends(); n > maxLateSends {
			t.Fatalf("sent %d times after the losses were known, %d upstreams lost", n, len(f.crashes))
		}
	})
}

// cut cuts the VMs off from each other into a number of sides; 1 ends the cut.
func (f *fleet) cut(sides int) {
	if sides == 1 {
		f.isCut = nil
		return
	}
	side := func(a netip.AddrPort) int { return int(a.Addr().As4()[3]) % sides }
	f.isCut = func(from, to netip.AddrPort) bool { return side(from) != side(to) }
}
