package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// shortRead is the reading time in milliseconds up to which a prompt is
	// read by one engine: below a pass of some streams, a part more or less
	// changes no pass that anybody notices.
	shortRead = 100.0
	// partRead is the reading time in milliseconds that one part should have.
	// With a pass of 50 to 70 ms it keeps passes under the 250 ms that callers
	// of short answers bear between events.
	partRead = 110.0
	// MostParts is the most engines that help to read, the engines' own bound.
	MostParts = 16
	// crowd is the reading time in milliseconds that an engine may have left
	// unread when it is given a part of a long prompt: a second part would go
	// into the same pass, and the streams there would wait for both.
	crowd = 25.0
	// far is what another availability zone costs in milliseconds: the way
	// there and back.
	far = 3.0
	// failure is what each recent failure of an upstream counts for in
	// milliseconds, and cold what a cold start does.
	failure = 150.0
	cold    = 100.0
	// plainSlot is the estimated time in milliseconds that each request under
	// way at a plain service adds for the next.
	plainSlot = 20.0
	// memorySpare is the part of an engine's memory that prompts may fill. An
	// engine whose memory runs out stops its newest stream in the middle and
	// reads it again.
	memorySpare = 0.92
	// smallTicket is the fewest tokens worth setting aside at another engine.
	smallTicket = 8000
	// ticketRound is added to what is set aside, as engines keep memory in
	// blocks.
	ticketRound = 64
)

// A Candidate is an upstream that may get the request.
type Candidate struct {
	ID, Zone string
	Load     Load
	Slots    int
	// Room is how many requests may be sent there now; cold upstreams bear
	// few. Silent says that connections to it have just failed.
	Room   int
	Cold   bool
	Silent bool
	// Failures is the number of recent failures, older ones counting less.
	Failures float64
	// Near says that it is in this VM's zone.
	Near bool
}

// An Ask is a request for a place.
type Ask struct {
	// Prompt and Output are its tokens; zero for plain services.
	Prompt, Output int
	// Objective is when a first event is in time, Deadline when all is over.
	Arrived, Objective, Deadline time.Time
	// Tried are upstreams that have failed this request.
	Tried []string
}

// A Ticket is memory to be set aside at an upstream.
type Ticket struct {
	Candidate int
	Tokens    int
}

// A Choice says where a request runs: at Main, read with the help of Helpers,
// with memory set aside at those in Tickets.
type Choice struct {
	Main    int
	Helpers []int
	Tickets []Ticket
	// Read is each part's reading time in milliseconds.
	Read float64
	// First is the estimated time to the first event in milliseconds.
	First float64
}

// Plain chooses among the upstreams of a plain service: the one with the fewest
// requests for its slots, this zone's first. It says false where all are full.
func Plain(a Ask, cs []Candidate) (Choice, bool) {
	best, least := -1, math.Inf(1)
	for i := range cs {
		c := &cs[i]
		if c.Room < 1 || c.Load.Streams >= max(1, c.Slots) {
			continue
		}
		cost := plainSlot*float64(c.Load.Streams) + c.dislike(a)
		if cost < least {
			best, least = i, cost
		}
	}
	return Choice{Main: best, First: least}, best >= 0
}

// dislike is what counts against an upstream beside its work, in milliseconds.
// Those that failed this request, or cannot be reached, come after all others.
func (c *Candidate) dislike(a Ask) float64 {
	cost := failure * c.Failures
	if !c.Near {
		cost += far
	}
	if c.Cold {
		cost += cold
	}
	if c.Silent {
		cost += 1e5
	}
	if slices.Contains(a.Tried, c.ID) {
		cost += 1e6
	}
	return cost
}

// Short says that a prompt is read by one engine.
func Short(e *matcher.Engine, prompt int) bool { return Read(e, prompt, 1) <= shortRead }

// Engine chooses engines for a prompt. With hurry it takes the best there is
// where none is good; without, it says false where the prompt had better wait,
// because waiting a little costs it nothing that callers notice.
func Engine(e *matcher.Engine, a Ask, cs []Candidate, hurry bool) (Choice, bool) {
	if Short(e, a.Prompt) {
		return single(e, a, cs, hurry)
	}
	return group(e, a, cs, hurry)
}

// single chooses the engine with the least estimated time to the first token.
func single(e *matcher.Engine, a Ask, cs []Candidate, hurry bool) (Choice, bool) {
	read := Read(e, a.Prompt, 1)
	best, least := -1, math.Inf(1)
	for i := range cs {
		c := &cs[i]
		if c.Room < 1 || !c.slot(hurry) || !c.fits(e, a.Prompt+a.Output) {
			continue
		}
		cost := First(e, c.Load, read) + c.dislike(a)
		if cost < least {
			best, least = i, cost
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return Choice{Main: best, Read: read, First: least}, true
}

// slot says that the engine can run one request more now, or, in a hurry, that
// it would wait there behind no more than as many again.
func (c *Candidate) slot(hurry bool) bool {
	if hurry {
		return c.Load.Streams < 2*c.Slots
	}
	return c.Load.Streams < c.Slots
}

func (c *Candidate) fits(e *matcher.Engine, tokens int) bool {
	return tokens <= c.free(e)
}

func (c *Candidate) free(e *matcher.Engine) int {
	return int(memorySpare*float64(e.Memory)) - c.Load.Context
}

// group chooses the engines that read a long prompt in parts.
func group(e *matcher.Engine, a Ask, cs []Candidate, hurry bool) (Choice, bool) {
	whole := Read(e, a.Prompt, 1)
	want := min(MostParts+1, int(math.Ceil(whole/partRead)))
	order := quiet(e, a, cs, hurry)
	if len(order) == 0 || (!hurry && len(order) < want) {
		return Choice{}, false
	}
	n := min(want, len(order))
	choice, ok := memory(e, a, cs, order, n)
	if !ok {
		return Choice{}, false
	}
	choice.Read = whole / float64(len(choice.Helpers)+1)
	choice.First = First(e, cs[choice.Main].Load, choice.Read)
	return choice, true
}

// quiet are the engines that may read a part, those first that read least now.
// In a hurry those that read something else are among them.
func quiet(e *matcher.Engine, a Ask, cs []Candidate, hurry bool) []int {
	var order []int
	for i := range cs {
		c := &cs[i]
		if c.Room < 1 || c.Silent || c.Cold || c.Load.Streams >= 2*c.Slots {
			continue
		}
		if !hurry && (c.Load.Unread > crowd || c.Load.Parts > 0) {
			continue
		}
		order = append(order, i)
	}
	cost := func(i int) float64 { return First(e, cs[i].Load, 0) + cs[i].dislike(a) }
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(cost(i), cost(j)) })
	return order
}

// memory chooses which of the engines generates, and what is set aside at the
// others where no engine has room for the whole prompt.
func memory(e *matcher.Engine, a Ask, cs []Candidate, order []int, n int) (Choice, bool) {
	need := a.Prompt + a.Output
	roomiest := -1
	for _, i := range order {
		c := &cs[i]
		if c.Load.Streams >= c.Slots || slices.Contains(a.Tried, c.ID) {
			continue
		}
		if c.fits(e, need) {
			return Choice{Main: i, Helpers: others(order, i, n-1)}, true
		}
		if roomiest < 0 || c.free(e) > cs[roomiest].free(e) {
			roomiest = i
		}
	}
	if roomiest < 0 {
		return Choice{}, false
	}
	return spread(e, a, cs, order, n, roomiest)
}

func others(order []int, main, n int) []int {
	var picked []int
	for _, i := range order {
		if i != main && len(picked) < n {
			picked = append(picked, i)
		}
	}
	return picked
}

// spread sets aside what main has no room for at as few others as can hold it,
// those with most room first. It is all or none.
func spread(e *matcher.Engine, a Ask, cs []Candidate, order []int, n, main int) (Choice, bool) {
	left := a.Prompt + a.Output - cs[main].free(e)
	roomy := slices.DeleteFunc(slices.Clone(order), func(i int) bool { return i == main })
	slices.SortStableFunc(roomy, func(i, j int) int { return cs[j].free(e) - cs[i].free(e) })
	choice := Choice{Main: main}
	for _, i := range roomy {
		if left <= 0 || len(choice.Tickets) == MostParts {
			break
		}
		take := min(max(left, smallTicket), cs[i].free(e)-ticketRound)
		if take < smallTicket {
			break
		}
		choice.Tickets = append(choice.Tickets, Ticket{Candidate: i, Tokens: take + ticketRound})
		choice.Helpers = append(choice.Helpers, i)
		left -= take
	}
	if left > 0 {
		return Choice{}, false
	}
	for _, i := range order {
		if len(choice.Helpers) >= n-1 {
			break
		}
		if i != main && !slices.Contains(choice.Helpers, i) {
			choice.Helpers = append(choice.Helpers, i)
		}
	}
	return choice, true
}
