// Package claimer decides who holds an upstream or a seat, by claims on the
// log. It is a state machine: it takes what was read from the log, the time and
// what is known of other VMs, and returns the claims to append. It reads and
// writes nothing itself, and lends nothing.
//
// Without one holder, each VM would bound only its own work, and the sum would
// overrun an upstream whenever many callers come at once. A holder must never
// stand beside another: a claim takes effect only a lease after its claimant
// knows that it landed, and a holder stops when the read that last reached the
// log's end began longer ago than that lease. So nothing has to be appended
// while nothing changes. The lease's length trades the gap after a VM's death
// (lease plus the life of a loan) against reads of the log (four a lease).
package claimer

import (
	"time"

	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/recorder"
)

// A Config holds the constants of a Machine; all VMs must agree on them.
type Config struct {
	// VM and Boot name this process.
	VM   string
	Boot uint64
	// Zone and Address are this VM's, told to others with each claim.
	Zone, Address string
	// Lease is how long a holder may lend after the begin of the read that last
	// reached the log's end.
	Lease time.Duration
	// Life is the life of a loan.
	Life time.Duration
	// Drift bounds how much two VMs' monotonic clocks may differ in rate; 0.01
	// is one in a hundred.
	Drift float64
	// Keep is how long the log keeps a record; claims are written again after a
	// quarter of it. 0 means for ever.
	Keep time.Duration
}

const (
	// renewal is the part of Keep after which a claim is written again: three
	// further attempts fit before the log forgets it.
	renewal = 4
	// forever stands for a log that forgets nothing.
	forever = 100 * 365 * 24 * time.Hour
	// settled is how many leases the better holder must stay the same before an
	// upstream is handed over, so that a flapping VM moves nothing.
	settled = 2
)

// Facts are what a Machine is told of the world at a tick.
type Facts struct {
	// Live says whether a process is thought to run. It may be wrong.
	Live func(vm string, boot uint64) bool
	// Should names the process that ought to hold an upstream; VM is empty
	// where there is none.
	Should func(upstream string) (vm string, boot uint64)
	// Absent says that the platform has certainly stopped a process.
	Absent func(vm string, boot uint64) bool
	// Upstreams and Seats are those of the configuration in force.
	Upstreams []string
	Seats     int
	// Leaving says that this VM takes on nothing more.
	Leaving bool
}

// A Machine is the claims as one VM sees them.
type Machine struct {
	c         Config
	upstreams table[string]
	seats     table[int]

	next    uint64    // next offset to read; 0 before the first read
	began   time.Time // begin of the read that last reached the end
	backAt  time.Time // since when the log's end lies below next
	skipped int       // records that could not be read

	held    map[string]tenure // upstreams whose claim in force names this process
	seat    tenure
	seatNo  int
	hasSeat bool

	waits   map[string]time.Time // upstreams claimed and not yet read back
	met     []Met
	signs   map[string]time.Time // when a claim of another process was seen to land
	seatTry time.Time
	hands   map[string]*hand
	better  map[string]since
	tables  map[string]uint64 // fences that a table was received for
}

// A tenure is what this process knows of its own claim.
type tenure struct {
	fence uint64
	// known is when the claim was read back; notBefore is a time at which it
	// had not landed yet.
	known, notBefore time.Time
	// ready says that nothing has to be waited for.
	ready bool
}

type since struct {
	vm string
	at time.Time
}

// New returns a Machine that has read nothing.
func New(c Config) *Machine {
	keep := c.Keep
	if keep == 0 {
		keep = forever
	}
	return &Machine{
		c:         c,
		upstreams: newTable[string](keep),
		seats:     newTable[int](keep),
		held:      map[string]tenure{},
		waits:     map[string]time.Time{},
		signs:     map[string]time.Time{},
		hands:     map[string]*hand{},
		better:    map[string]since{},
		tables:    map[string]uint64{},
	}
}

// From is the offset that the next read should start at.
func (m *Machine) From() uint64 { return max(m.next, 1) }

// Skipped is how many records could not be understood.
func (m *Machine) Skipped() int { return m.skipped }

// Read takes in a batch whose reading began at a time and was done now.
func (m *Machine) Read(began, now time.Time, b appender.Batch) {
	if b.End < m.From() {
		m.wentBack(now)
		return
	}
	m.backAt = time.Time{}
	if m.next == 0 {
		m.next = max(b.Start, 1)
		m.upstreams.start, m.seats.start = b.Start, b.Start
	}
	for _, r := range b.Records {
		if r.Offset < m.next {
			continue
		}
		m.next = r.Offset + 1
		m.record(now, r)
	}
	if m.next >= b.End || b.Start >= b.End {
		m.next = max(m.next, b.End)
		m.began = began
	}
}

// wentBack is for a log that has lost its end. Reading on from the old offset
// would miss every claim until the log has grown past it, and two holders could
// stand side by side. The machine stops holding anything, because it no longer
// reaches the end, and after two leases starts anew from what the log has.
func (m *Machine) wentBack(now time.Time) {
	if m.backAt.IsZero() {
		m.backAt = now
	}
	if now.Sub(m.backAt) < settled*m.c.Lease {
		return
	}
	fresh := New(m.c)
	fresh.skipped = m.skipped + 1
	fresh.next = 1
	// Not 1: no claim counts as the first ever in a log that has lost some.
	fresh.upstreams.start, fresh.seats.start = 2, 2
	*m = *fresh
}

func (m *Machine) record(now time.Time, r appender.Record) {
	kind, err := recorder.Kind(r.Data)
	if err != nil || kind != recorder.KindClaim {
		m.skipped++
		return
	}
	c, err := recorder.Unwrap[recorder.Claim](r.Data)
	if err != nil || c.VM == "" && !c.Given {
		m.skipped++
		return
	}
	if c.By == c.VM && c.Address != "" {
		m.met = append(m.met, Met{VM: c.VM, Boot: c.Boot, Zone: c.Zone, Address: c.Address})
	}
	upstreams, seats := claims(r.Offset, r.At, c)
	for name, one := range upstreams {
		if m.upstreams.apply(name, one) {
			m.landed(now, name, one)
		}
	}
	for n, one := range seats {
		if m.seats.apply(n, one) {
			m.seated(now, n, one)
		}
	}
}

// A Met is a process that has written a claim.
type Met struct {
	VM, Zone, Address string
	Boot              uint64
}

// Met returns the processes whose claims were read since the last call.
func (m *Machine) Met() []Met {
	met := m.met
	m.met = nil
	return met
}

// landed keeps what this process holds in step with the table.
func (m *Machine) landed(now time.Time, name string, c Claim) {
	delete(m.waits, name)
	delete(m.hands, name)
	defer delete(m.tables, name)
	if !c.is(m.c.VM, m.c.Boot) {
		delete(m.held, name)
		if !m.began.IsZero() {
			m.signs[name] = now
		}
		return
	}
	stored := m.upstreams.entries[name]
	t, had := m.held[name]
	if !had {
		t.known = now
		t.ready = stored.First || c.Handed && m.tables[name] == c.replaces && c.replaces != 0
	}
	t.fence, t.notBefore = c.Offset, m.began
	m.held[name] = t
}

func (m *Machine) seated(now time.Time, n int, c Claim) {
	mine := c.is(m.c.VM, m.c.Boot)
	switch {
	case mine:
		m.hasSeat, m.seatNo = true, n
		m.seat = tenure{fence: c.Offset, known: now, notBefore: m.began}
		m.seatTry = time.Time{}
	case m.hasSeat && m.seatNo == n:
		m.hasSeat = false
	}
}

// Fresh says whether the log was read to its end within the lease.
func (m *Machine) Fresh(now time.Time) bool {
	return !m.began.IsZero() && now.Sub(m.began) < m.short(m.c.Lease)
}

// short and long widen a time by the clocks' drift, to the safe side of the
// process that must stop and of the one that waits for it.
func (m *Machine) short(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - m.c.Drift))
}

func (m *Machine) long(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + m.c.Drift))
}

// Hold says whether this process may lend an upstream's slots now, and under
// which fence.
func (m *Machine) Hold(name string, now time.Time) (fence uint64, ok bool) {
	t, held := m.held[name]
	if !held || m.hands[name] != nil || !m.Fresh(now) || m.expired(t, now) {
		return 0, false
	}
	if !t.ready && !m.waited(t, now) {
		return 0, false
	}
	return t.fence, true
}

// waited says that the holder before has stopped and that all its loans have
// lapsed. It also asks for a read that began after the old holder's stop, so
// that every seat which that one let use its share is known here.
func (m *Machine) waited(t tenure, now time.Time) bool {
	stop := t.known.Add(m.long(m.c.Lease))
	return !now.Before(stop.Add(m.long(m.c.Life))) && !m.began.Before(stop)
}

// expired says that the log may have forgotten the claim: a VM that starts now
// would not see it.
func (m *Machine) expired(t tenure, now time.Time) bool {
	return m.c.Keep > 0 && now.Sub(t.notBefore) >= m.short(m.c.Keep)
}

// Claimed gives the claim in force for an upstream.
func (m *Machine) Claimed(name string) (Claim, bool) {
	c, ok := m.upstreams.entries[name]
	return c, ok
}

// Tabled says that the holder under a fence has sent its table to this process.
// A hand-over takes effect at once only where the table has come: the claim
// alone does not tell what was lent.
func (m *Machine) Tabled(name string, fence uint64) { m.tables[name] = fence }

// Ready says whether this process knows all that was lent before it became the
// holder: it is the first ever, or got the table.
func (m *Machine) Ready(name string) bool { return m.held[name].ready }

// Seat is the seat of this process. It outlives an outage of the log for as
// long as the log keeps its record.
func (m *Machine) Seat(now time.Time) (int, bool) {
	if !m.hasSeat || m.expired(m.seat, now) {
		return 0, false
	}
	return m.seatNo, true
}

// Seats gives the claim in force for each seat below a number.
func (m *Machine) Seats(seats int) map[int]Claim {
	out := make(map[int]Claim, seats)
	for n, c := range m.seats.entries {
		if n >= 0 && n < seats && c.VM != "" {
			out[n] = c
		}
	}
	return out
}
