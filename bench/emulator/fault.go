package emulator

import (
	"slices"
	"time"
)

// A Trouble is what happens to a VM.
type Trouble int

// The troubles of VMs.
const (
	// Dies ends a VM and all that it has under way.
	Dies Trouble = iota
	// Freezes has it stand still; what was sent to it comes when it wakes.
	Freezes
	// Slows has its datagrams take longer.
	Slows
	// Restarts ends a VM and all that it has under way, and starts it again.
	Restarts
	// LosesSent and LosesReceived cut its way in one direction.
	LosesSent
	LosesReceived
)

// String names the trouble.
func (t Trouble) String() string {
	words := [...]string{"dies", "freezes", "slows", "restarts", "loses what it sends", "loses what it receives"}
	if t < 0 || int(t) >= len(words) {
		return "unknown"
	}
	return words[t]
}

// A Fault is a trouble of the VMs that lead: Count of them, the first by rank. With
// Every it is one of every so many VMs instead.
type Fault struct {
	Trouble Trouble
	Count   int
	Every   int
	At, For time.Duration
	struck  []*vm
}

// slowness is how much later the datagrams of a slow VM come, in milliseconds.
const slowness = 60.0

// strike has faults begin and end.
func (p *play) strike() {
	passed := func(at time.Duration) bool {
		ms := float64(at.Milliseconds())
		return p.now-tick < ms && p.now >= ms
	}
	for i := range p.faults {
		f := &p.faults[i]
		if passed(f.At) {
			f.struck = p.leaders(f.Count)
			for i := 0; f.Every > 0 && i < len(p.vms); i += f.Every {
				f.struck = append(f.struck, p.vms[i])
			}
			for _, v := range f.struck {
				p.trouble(v, f.Trouble, true)
			}
		}
		if f.For > 0 && passed(f.At+f.For) {
			for _, v := range f.struck {
				p.trouble(v, f.Trouble, false)
			}
		}
	}
}

// leaders are the VMs that lead most groups, so many of them.
func (p *play) leaders(n int) []*vm {
	var found []*vm
	for range n {
		for _, v := range p.vms {
			if !v.dead && v.allocator.LedGroups() > 0 && !slices.Contains(found, v) {
				found = append(found, v)
				break
			}
		}
	}
	return found
}

func (p *play) trouble(v *vm, t Trouble, begins bool) {
	if begins {
		v.diedAt = p.now
	}
	switch t {
	case Dies:
		v.dead = begins
		for _, r := range p.open {
			r.gone = r.gone || p.vms[r.vm] == v
		}
	case Restarts:
		p.trouble(v, Dies, begins)
		if !begins {
			p.start(v)
		}
	case Freezes:
		v.frozen = begins
		if !begins {
			p.mail = append(v.late, p.mail...)
			v.late = nil
		}
	case Slows:
		v.slow = 0
		if begins {
			v.slow = slowness
		}
	case LosesSent:
		v.losesSent = begins
	case LosesReceived:
		v.losesReceived = begins
	}
}
