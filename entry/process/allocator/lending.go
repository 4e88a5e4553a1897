package allocator

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/process/balancer"
	"github.com/heathervane/heathervane/entry/process/forecaster"
	"github.com/heathervane/heathervane/entry/process/scheduler"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
)

const (
	// lendingInterval is how often a leader asks for engines and renews its loans.
	lendingInterval = 100 * time.Millisecond
	// lastingBacklog is for how long a group must have lacked engines before it borrows
	// some: most queues are empty again sooner.
	lastingBacklog = 100 * time.Millisecond
	// keepBorrowed is for how long engines are kept after the last time they were
	// missing, so that they are not returned and borrowed between two prompts of a burst.
	keepBorrowed = 500 * time.Millisecond
)

// lending is what a group has lent to other groups of its service, and borrowed.
type lending struct {
	lender   *balancer.Lender
	borrower *balancer.Borrower
	// leadsSince is when this VM became the leader of the group; zero while it is not.
	leadsSince time.Time
	plannedAt  time.Time
	// missingSince and missingAt are when the group first and last lacked engines.
	missingSince, missingAt time.Time
	// foreign is the load at engines that this group uses, by engine, as reported by the
	// groups that used them before.
	foreign map[string]map[Group]foreignLoad
	// reported are the engines whose load was last reported to another group, and the
	// group.
	reported map[string]Group
	// arrivals are the prefill times of the prompts that come, by whether they are short;
	// foreseen is set while any forecast is made.
	arrivals map[bool]*forecaster.Forecaster
	foreseen bool
	// applied is set if the scheduler has loans or foreign loads.
	applied bool
}

type foreignLoad struct {
	load placer.Load
	at   time.Time
}

// An offer is the number of engines that a group offers.
type offer struct {
	engines int
	at      time.Time
}

func newLending() lending {
	return lending{
		lender: balancer.NewLender(), borrower: balancer.NewBorrower(),
		foreign: make(map[string]map[Group]foreignLoad), reported: make(map[string]Group),
		arrivals: map[bool]*forecaster.Forecaster{false: {}, true: {}},
	}
}

// lends reports whether engines move between the groups of a service.
func (a *Allocator) lends(service string) bool {
	s, ok := a.deps.Service(service)
	return ok && s.Engine != nil && a.splitByZone[service] && a.policy().Lending.Enabled(false)
}

func (a *Allocator) lendingBounds() balancer.Bounds {
	p := a.policy()
	return balancer.Bounds{Loan: p.Loan, Part: p.LendingPart}.WithDefaults()
}

// lend asks for engines, renews and returns loans and asks for lent engines back, for
// each group that this VM leads.
func (a *Allocator) lend(now time.Time) {
	for g, l := range a.ledGroups {
		if g.Zone == "" {
			continue
		}
		if !a.lends(g.Service) || !a.isLeader(now, g) {
			l.lending.leadsSince, l.lending.missingSince = time.Time{}, time.Time{}
			l.lending.borrower.ReturnAll(now)
			a.renewLoans(now, l, nil)
			a.applyLoans(now, l)
			continue
		}
		if l.lending.leadsSince.IsZero() {
			l.lending.leadsSince = now
		}
		if len(l.lending.lender.Lent(now)) > 0 && l.scheduler.QueueLength() > 0 {
			a.recall(now, l)
		}
		if now.Sub(l.lending.plannedAt) >= lendingInterval {
			l.lending.plannedAt = now
			a.borrow(now, l)
			a.reportForeignLoads(now, l)
		}
		a.applyLoans(now, l)
	}
}

// outlook returns what a group has to do, and which engines of its zone have no work.
func (a *Allocator) outlook(now time.Time, l *ledGroup) (o balancer.Outlook, idle []string) {
	o.Queued = l.scheduler.QueuedPrefill()
	work, lent := l.scheduler.Loads(), l.lending.lender.Lent(now)
	states := a.deps.Tracker.Usable(now, l.group.Service)
	for i := range states {
		u := &states[i]
		home := u.Zone == l.group.Zone
		if now.Before(u.UnreachableUntil) || now.Before(u.LeavingUntil) || now.Before(u.ColdUntil) || u.Limit.Limited {
			continue
		}
		if home {
			o.Engines++
		}
		if _, away := lent[u.ID]; home && away {
			o.Lent++
		}
		if !l.scheduler.Uses(now, u) || work[u.ID] != (placer.Load{}) || l.lending.foreignLoad(now, u.ID) != (placer.Load{}) {
			continue
		}
		o.Idle++
		if home {
			idle = append(idle, u.ID)
		}
	}
	slices.Sort(idle)
	o.Expected = a.expected(now, l)
	return o, idle
}

// observeArrival records a request that came to the group first, rather than being moved
// there.
func (a *Allocator) observeArrival(now time.Time, l *ledGroup, c scheduler.Request, hops int) {
	if e := c.Service.Engine; e != nil && hops == 0 && l.group.Zone != "" {
		l.lending.arrivals[placer.IsShort(e, c.Requirements.Prompt)].Observe(now, placer.PrefillTime(e, c.Requirements.Prompt, 1))
	}
}

// forecastAhead is for how long forecasts are made. In this time engines can be borrowed
// and finish what they prefill.
const forecastAhead = time.Second

// expected returns the prefill time of the prompts that are forecast above the usual.
func (a *Allocator) expected(now time.Time, l *ledGroup) (prefill float64) {
	if !a.policy().Forecasts.Enabled(true) {
		return 0
	}
	foreseen := false
	for short, f := range l.lending.arrivals {
		fc, ok := f.Forecast(now, forecastAhead)
		if !ok {
			continue
		}
		foreseen = true
		prefill += fc.Rise()
		if !l.lending.foreseen {
			a.count("forecasts.begun")
			a.deps.Log.Info().Str("service", l.group.Service).Str("zone", l.group.Zone).Bool("short", short).Dur("period", fc.Period).
				Float64("error_ratio", fc.ErrorRatio).Float64("expected_ms", fc.Amount).Float64("usual_ms", fc.Usual).Msg("arrivals can be forecast")
		}
	}
	if !foreseen && l.lending.foreseen {
		a.deps.Log.Info().Str("service", l.group.Service).Str("zone", l.group.Zone).Msg("arrivals can no longer be forecast")
	}
	l.lending.foreseen = foreseen
	return prefill
}

// mayLend reports whether this VM may lend engines of a group. A new leader first waits
// until the loans of its predecessor that it does not know have ended.
func (a *Allocator) mayLend(now time.Time, l *ledGroup) bool {
	return !a.leaving && !l.lending.leadsSince.IsZero() && now.Sub(l.lending.leadsSince) >= a.lendingBounds().Loan && now.Sub(a.startedAt) >= a.lendingBounds().Loan
}

// offer returns how many engines a group offers now, and false if it may not lend.
func (a *Allocator) offer(now time.Time, l *ledGroup) (wireOffer, bool) {
	if !a.lends(l.group.Service) || !a.mayLend(now, l) {
		return wireOffer{}, false
	}
	o, _ := a.outlook(now, l)
	n := o.Offer(a.lendingBounds())
	a.offers[l.group] = offer{n, now}
	return wireOffer{Group: l.group.wire(), Engines: n}, true
}

// borrow asks for engines if the group has lacked some for long enough, renews those that
// it has and returns them when they are no longer needed.
func (a *Allocator) borrow(now time.Time, l *ledGroup) {
	b := l.lending.borrower
	o, _ := a.outlook(now, l)
	missing := o.Wanted()
	switch {
	case missing > 0:
		l.lending.missingAt = now
		if l.lending.missingSince.IsZero() {
			l.lending.missingSince = now
		}
	case o.Queued == 0 && now.Sub(l.lending.missingAt) >= keepBorrowed:
		l.lending.missingSince = time.Time{}
		if n := len(b.Held(now)); n > 0 {
			b.ReturnAll(now)
			a.count("engines.returned")
			a.deps.Log.Info().Str("service", l.group.Service).Str("zone", l.group.Zone).Int("engines", n).Msg("returned engines that are no longer needed")
		}
	}
	var wanted map[string]int
	if missing > 0 && now.Sub(l.lending.missingSince) >= lastingBacklog {
		offers := make(map[string]int)
		for g, of := range a.offers {
			if g.Service == l.group.Service && g.Zone != l.group.Zone && now.Sub(of.at) <= maxSummaryAge && of.engines > 0 {
				offers[g.Zone] = of.engines
			}
		}
		wanted = balancer.Share(missing, offers)
	}
	a.renewLoans(now, l, wanted)
}

// renewLoans sends a request to each group from which this one has engines, has just
// returned some or wants more.
func (a *Allocator) renewLoans(now time.Time, l *ledGroup, wanted map[string]int) {
	zones := l.lending.borrower.Lenders(now)
	for zone := range wanted {
		if !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	for _, zone := range zones {
		more := wanted[zone]
		a.sendToLeader(now, Group{l.group.Service, zone}, func(m *message) {
			m.LoanRequests = append(m.LoanRequests, a.loanRequest(now, l, zone, more))
		})
	}
}

func (a *Allocator) loanRequest(now time.Time, l *ledGroup, lender string, more int) wireLoanRequest {
	b := l.lending.borrower
	return newWireLoanRequest(Group{l.group.Service, lender}, l.group, b.Request(now, lender, b.Count(now, lender)+more))
}

// renewLoansAt renews the loans from a group at a VM that has begun to lead it.
func (a *Allocator) renewLoansAt(now time.Time, at netip.AddrPort, g Group) {
	for own, l := range a.ledGroups {
		if own.Service == g.Service && l.lending.borrower.Count(now, g.Zone) > 0 {
			out := a.outgoingTo(at)
			out.LoanRequests = append(out.LoanRequests, a.loanRequest(now, l, g.Zone, 0))
		}
	}
}

// recall asks for lent engines back that the group needs itself. It is repeated until
// they are returned or the loans have ended.
func (a *Allocator) recall(now time.Time, l *ledGroup) {
	o, _ := a.outlook(now, l)
	missing := o.Missing()
	if missing == 0 {
		return
	}
	for h, loans := range l.lending.lender.Recall(now, missing) {
		a.count("engines.recalled")
		a.deps.Log.Debug().Str("service", l.group.Service).Str("zone", l.group.Zone).Str("to", h.Zone).Int("engines", len(loans)).
			Float64("queued_ms", o.Queued).Msg("recalled engines")
		a.sendToVM(now, h.VM, func(m *message) {
			m.Recalls = append(m.Recalls, wireRecall{Lender: l.group.wire(), Borrower: h.Zone, Loans: wireLoans(loans)})
		})
	}
}

// handleLending handles what a message says about engines that move between groups. It
// precedes the reports of placements, after which a new leader begins to place.
func (a *Allocator) handleLending(now time.Time, from netip.AddrPort, m *message) {
	for _, w := range m.Offers {
		a.offers[w.Group.group()] = offer{w.Engines, now}
	}
	for i := range m.ForeignLoads {
		a.handleForeignLoad(now, &m.ForeignLoads[i])
	}
	for i := range m.LoanRequests {
		a.handleLoanRequest(now, from, m.VM, &m.LoanRequests[i])
	}
	for i := range m.LoanAnswers {
		w := &m.LoanAnswers[i]
		l, ok := a.ledGroups[Group{w.Lender.Service, w.Borrower}]
		if !ok {
			continue
		}
		answer := balancer.Answer{Stamp: w.Stamp, Length: time.Duration(w.Length) * time.Millisecond, Loans: loansOf(w.Loans)}
		if begun := l.lending.borrower.Accept(now, w.Lender.Zone, answer); len(begun) > 0 {
			a.count("engines.borrowed")
			a.deps.Log.Info().Str("service", l.group.Service).Str("zone", l.group.Zone).Str("from", w.Lender.Zone).Strs("engines", begun).
				Float64("queued_ms", l.scheduler.QueuedPrefill()).Float64("expected_ms", a.expected(now, l)).Dur("offer_age", now.Sub(a.offers[w.Lender.group()].at)).Msg("borrowed engines")
		}
		a.applyLoans(now, l)
	}
	for i := range m.Recalls {
		w := &m.Recalls[i]
		l, ok := a.ledGroups[Group{w.Lender.Service, w.Borrower}]
		if !ok {
			continue
		}
		if l.lending.borrower.Return(now, w.Lender.Zone, loansOf(w.Loans)) {
			a.count("engines.returned")
			a.deps.Log.Info().Str("service", l.group.Service).Str("zone", l.group.Zone).Str("to", w.Lender.Zone).Int("engines", len(w.Loans)).Msg("returned recalled engines")
		}
		a.applyLoans(now, l)
		a.reportForeignLoads(now, l)
		a.sendBack(now, from, func(m *message) {
			m.LoanRequests = append(m.LoanRequests, a.loanRequest(now, l, w.Lender.Zone, 0))
		})
	}
}

func (a *Allocator) handleLoanRequest(now time.Time, from netip.AddrPort, vm string, w *wireLoanRequest) {
	g := w.Lender.group()
	l, leads := a.ledGroups[g]
	if !leads && a.lends(g.Service) && a.isLeader(now, g) {
		l = a.ledGroupOf(g)
	}
	if l == nil || a.leaving {
		return
	}
	r := w.request()
	r.Held = slices.DeleteFunc(r.Held, func(o balancer.Loan) bool {
		u, ok := a.deps.Tracker.Get(o.Engine)
		return !ok || u.Service != g.Service || u.Zone != g.Zone
	})
	b := a.lendingBounds()
	var spare []string
	if a.lends(g.Service) && a.isLeader(now, g) && a.mayLend(now, l) && r.Wanted > len(r.Held) {
		o, idle := a.outlook(now, l)
		spare = idle[:min(len(idle), o.Offer(b))]
	}
	before := len(l.lending.lender.Lent(now))
	answer, ok := l.lending.lender.Answer(now, balancer.Holder{Zone: w.Borrower, VM: vm}, r, spare, b)
	if !ok {
		return
	}
	if n := len(l.lending.lender.Lent(now)) - before; n > 0 {
		a.count("engines.lent")
		a.deps.Log.Info().Str("service", g.Service).Str("zone", g.Zone).Str("to", w.Borrower).Str("vm", vm).Int("engines", n).Int("wanted", r.Wanted).Msg("lent engines")
	}
	a.applyLoans(now, l)
	a.sendBack(now, from, func(m *message) {
		m.LoanAnswers = append(m.LoanAnswers, wireLoanAnswer{
			Lender: w.Lender, Borrower: w.Borrower, Stamp: answer.Stamp, Length: answer.Length.Milliseconds(), Loans: wireLoans(answer.Loans),
		})
	})
	a.reportForeignLoads(now, l)
}

// GroupLoans are the engines of a group that this VM leads that are lent or borrowed.
type GroupLoans struct {
	Group          Group
	Lent, Borrowed []string
}

// Loans returns the loans of the groups that this VM leads and that have any.
func (a *Allocator) Loans() []GroupLoans {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Now()
	var all []GroupLoans
	for g, l := range a.ledGroups {
		lent := slices.Sorted(maps.Keys(l.lending.lender.Lent(now)))
		borrowed := slices.Sorted(maps.Keys(l.lending.borrower.Held(now)))
		if len(lent)+len(borrowed) > 0 {
			all = append(all, GroupLoans{g, lent, borrowed})
		}
	}
	return all
}

// applyLoans passes the loans of a group, and what other groups have in progress at its
// engines, to its scheduler.
func (a *Allocator) applyLoans(now time.Time, l *ledGroup) {
	s := scheduler.Loans{Borrowed: l.lending.borrower.Held(now), Lent: l.lending.lender.Lent(now), Loads: make(map[string]placer.Load)}
	for engine := range l.lending.foreign {
		if load := l.lending.foreignLoad(now, engine); load != (placer.Load{}) {
			s.Loads[engine] = load
		}
	}
	applies := len(s.Borrowed)+len(s.Lent)+len(s.Loads) > 0
	if applies || l.lending.applied {
		l.lending.applied = applies
		l.scheduler.SetLoans(s)
	}
}

// foreignLoad returns what other groups have in progress at an engine. Reports that are
// not repeated expire.
func (l *lending) foreignLoad(now time.Time, engine string) (sum placer.Load) {
	for g, f := range l.foreign[engine] {
		if now.Sub(f.at) > maxSummaryAge {
			delete(l.foreign[engine], g)
			continue
		}
		sum.Add(f.load)
	}
	if len(l.foreign[engine]) == 0 {
		delete(l.foreign, engine)
	}
	return sum
}

func (a *Allocator) handleForeignLoad(now time.Time, w *wireForeignLoad) {
	l, ok := a.ledGroups[w.To.group()]
	if !ok {
		return
	}
	from := l.lending.foreign[w.Upstream]
	if from == nil {
		from = make(map[Group]foreignLoad)
		l.lending.foreign[w.Upstream] = from
	}
	from[w.From.group()] = foreignLoad{w.load(), now}
}

// reportForeignLoads reports what a group has in progress at engines that another group
// uses now: at those that it has lent, and at those that it has returned. What runs there
// stays there, and the group that places the next request must know it.
func (a *Allocator) reportForeignLoads(now time.Time, l *ledGroup) {
	previous := l.lending.reported
	l.lending.reported = make(map[string]Group)
	held := l.lending.borrower.Held(now)
	for engine, load := range l.scheduler.Loads() {
		u, ok := a.deps.Tracker.Get(engine)
		if !ok {
			continue
		}
		to := Group{l.group.Service, u.Zone}
		if u.Zone == l.group.Zone {
			h, lent := l.lending.lender.Holder(now, engine)
			if !lent {
				continue
			}
			to.Zone = h.Zone
		} else if _, has := held[engine]; has {
			continue
		}
		l.lending.reported[engine] = to
		a.sendForeignLoad(now, l, to, engine, load)
	}
	for engine, to := range previous {
		if l.lending.reported[engine] != to {
			a.sendForeignLoad(now, l, to, engine, placer.Load{})
		}
	}
}

func (a *Allocator) sendForeignLoad(now time.Time, l *ledGroup, to Group, engine string, load placer.Load) {
	a.sendToLeader(now, to, func(m *message) {
		m.ForeignLoads = append(m.ForeignLoads, newWireForeignLoad(l.group, to, engine, load))
	})
}

// forwardEvents sends what was observed at lent engines to the VMs that use them, since
// VMs report to the leader of an engine's zone.
func (a *Allocator) forwardEvents(now time.Time, m *message) {
	holder := func(upstream string, add func(*message)) {
		u, ok := a.deps.Tracker.Get(upstream)
		if !ok {
			return
		}
		g := a.groupOf(u.Service, u.Zone)
		l, ok := a.ledGroups[g]
		if !ok || !a.isLeader(now, g) {
			return
		}
		if h, lent := l.lending.lender.Holder(now, upstream); lent && h.VM != m.VM && h.VM != a.me.VM {
			a.sendToVM(now, h.VM, add)
		}
	}
	for i := range m.Events {
		if len(m.Events[i].Upstreams) > 0 {
			holder(m.Events[i].Upstreams[0], func(out *message) { out.Events = append(out.Events, m.Events[i]) })
		}
	}
	for i := range m.Limits {
		holder(m.Limits[i].Upstream, func(out *message) { out.Limits = append(out.Limits, m.Limits[i]) })
	}
	for i := range m.Departures {
		holder(m.Departures[i].Upstream, func(out *message) { out.Departures = append(out.Departures, m.Departures[i]) })
	}
}

// forwardOwnEvent does the same for what this VM has observed itself.
func (a *Allocator) forwardOwnEvent(now time.Time, u *tracker.State, e tracker.Event) {
	own := &message{VM: a.me.VM}
	switch e.Finding {
	case tracker.FoundLimit:
		own.Limits = []wireLimit{newWireLimit(now, u.ID, e.Limit)}
	case tracker.FoundDeparture:
		own.Departures = []wireDeparture{newWireDeparture(now, e.Departure)}
	case tracker.FoundBackoff:
		return
	default:
		own.Events = []wireEvent{newWireEvent(e)}
	}
	a.forwardEvents(now, own)
}

// sendToLeader adds to the message to the leader of a group, which may be this VM.
func (a *Allocator) sendToLeader(now time.Time, g Group, add func(*message)) {
	m, self := a.leader(now, g)
	if self {
		a.sendBack(now, netip.AddrPort{}, add)
		return
	}
	a.sendBack(now, m.Address, add)
}

// sendToVM adds to the message to a VM, which may be this one.
func (a *Allocator) sendToVM(now time.Time, vm string, add func(*message)) {
	if vm == a.me.VM {
		a.sendBack(now, netip.AddrPort{}, add)
		return
	}
	members := a.deps.Members()
	for i := range members {
		if members[i].VM == vm {
			a.sendBack(now, members[i].Address, add)
			return
		}
	}
}

// sendBack adds to the message to an address. Without one, this VM has sent itself what
// it answers, as the leader of both groups.
func (a *Allocator) sendBack(now time.Time, to netip.AddrPort, add func(*message)) {
	if to.IsValid() {
		add(a.outgoingTo(to))
		return
	}
	own := &message{VM: a.me.VM}
	add(own)
	a.handleLending(now, netip.AddrPort{}, own)
}
