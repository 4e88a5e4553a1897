package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/heathervane/heathervane/entry/version/matcher"
)

const (
	// pauseSpare is the part of a pause that a pass may take: an event has to
	// reach the caller besides.
	pauseSpare = 0.85
	// perSecond is what a second until the first event counts for beside
	// streams made late, and perPart what each engine more does: with more
	// engines the first event comes sooner, and each has one pass more that is
	// longer than it would be.
	perSecond = 0.5
	perPart   = 0.02
	// goodPart is the longest part in milliseconds that costs nothing besides,
	// and perGoodPart what each part as long again counts for. An engine that
	// reads for long is lost for as long to short prompts that come meanwhile.
	goodPart    = 600.0
	perGoodPart = 4.0
	// perEngineSecond is what a second of an engine's time counts for.
	perEngineSecond = 1.0
	// TypicalOutputShare is the part of the most output tokens that answers have: a
	// mean of 32 events of 43 tokens under a bound of 3,400.
	TypicalOutputShare = 0.4
	// headroom is how many slots must be free for short prompts, for each of
	// these that runs, where a late long prompt begins.
	headroom = 0.7
	// tolerated is the interference up to which a patient request takes a place.
	tolerated = 0.3
	// lateShare is the part of its use that a late answer has lost.
	lateShare = 0.75
)

const (
	// unit is the prompt in tokens that counts for one, a usual question's, and
	// growth how what a request counts for grows with its prompt: whoever had
	// a prompt of thirty times the length read has more work wasted by a late
	// answer, though not thirty times as much.
	unit   = 5000.0
	growth = 0.75
)

// sizes are the numbers of parts that are weighed. Between the larger ones parts
// differ by little, and each costs as much to weigh.
var sizes = [...]int{1, 2, 3, 4, 5, 6, 8, 11, MaxHelpers + 1}

// group chooses the engines that read a long prompt in parts. It answers long
// prompts that come while many streams run: each part makes one pass longer at
// its engine. For each number of parts it takes the engines where that disturbs
// least, and of the numbers that the request's urgency allows the cheapest.
func group(e *matcher.Engine, a Request, cs []Candidate, now time.Time, m Urgency) (Placement, bool) {
	whole := PrefillTime(e, a.Prompt, 1)
	left := float64(a.Objective.Sub(now).Milliseconds())
	best, least := Placement{}, math.Inf(1)
	lack := NoEngine
	for _, n := range sizes {
		part := whole / float64(n)
		order, reading := helpful(e, a, cs, part, m)
		if len(order) < n {
			if reading {
				lack = max(lack, NoReader)
			}
			break
		}
		choice, ok := memory(e, a, cs, order, n, part)
		if !ok {
			lack = max(lack, NoMemory)
			continue
		}
		if m >= Late && !leavesHeadroom(cs, choice) {
			lack = max(lack, NoHeadroom)
			continue
		}
		interference, first := weigh(e, cs, choice, part)
		if first > a.useful(now) {
			lack = max(lack, TooLate)
			continue
		}
		if !a.allows(now, m, interference, first <= left) {
			if interference <= tolerated {
				lack = max(lack, TooLate)
			} else {
				lack = max(lack, TooMuchInterference)
			}
			continue
		}
		cost := interference + perSecond*first/1000 + perPart*float64(n) + perGoodPart*max(0, part/goodPart-1)
		if cost < least {
			best, least = choice, cost
			best.PrefillTime, best.TimeToFirstEvent = part, first
		}
	}
	if math.IsInf(least, 1) {
		return Placement{Reason: lack}, false
	}
	return best, true
}

// allows says whether a request may interfere with others for an answer that comes
// in time, or does not.
//
// A patient one may interfere more the longer it has waited: what it would lose when
// late, times the part of its time that is over. In a burst engines that write
// nothing are rare and become no more, and a prompt that held out for them until
// its last moment then needed every engine at once, found the interference too great,
// and was late. With the whole bound from the start, short answers lose more than the
// longest gain.
func (a Request) allows(now time.Time, m Urgency, interference float64, inTime bool) bool {
	switch {
	case interference <= tolerated:
		return inTime || m != OnTime
	case m == OnTime:
		passed := float64(now.Sub(a.Arrived)) / float64(max(1, a.Objective.Sub(a.Arrived)))
		return inTime && interference <= passed*lateShare*a.weight()
	case m == LastChance:
		return interference <= (1-lateShare)*a.weight()
	}
	return false
}

// leavesHeadroom says that with a choice the engines that read nothing long have slots
// left for the short prompts to come: in a burst of these their number doubles
// within a second or two, and an engine that a late prompt has taken meanwhile
// makes many of them late.
func leavesHeadroom(cs []Candidate, choice Placement) bool {
	running, free := 0, 0
	for i := range cs {
		c := &cs[i]
		running += c.Load.Streams
		if c.Load.Parts > 0 || c.Unreachable || i == choice.Main || slices.Contains(choice.Helpers, i) {
			continue
		}
		free += max(0, c.packed()-c.Load.Streams)
	}
	return float64(free) >= headroom*float64(running)
}

// useful is for how many milliseconds more a first event is of use. A late prompt
// was sent to one engine two seconds before its caller left, to be read within
// five: nobody got the answer, and the engine was lost to everybody else.
func (a Request) useful(now time.Time) float64 {
	end := a.Deadline
	if !a.CallerTimeout.IsZero() && a.CallerTimeout.Before(end) {
		end = a.CallerTimeout
	}
	return float64(end.Sub(now).Milliseconds())
}

// weight is what the request counts for when it is late.
func (a Request) weight() float64 {
	return math.Pow(float64(a.Prompt)/unit, growth)
}

// weigh sums the interference of a choice to others, and estimates its first event.
func weigh(e *matcher.Engine, cs []Candidate, choice Placement, part float64) (interference, first float64) {
	for _, i := range append([]int{choice.Main}, choice.Helpers...) {
		interference += cs[i].interference(e, part)
		first = math.Max(first, TimeToFirstToken(e, cs[i].Load, part))
	}
	return interference, first
}

// interference is what the streams of an engine lose by a part that is read there.
func (c *Candidate) interference(e *matcher.Engine, part float64) float64 {
	pass := DecodePassTime(e, c.Load.Streams, c.Load.ContextTokens) + c.Load.PendingPrefill + part
	return lateShare * c.Load.PauseWeights.below(pass)
}

// helpful are the engines that may read a part of so many milliseconds, those
// first that it disturbs least and that have least to read. It also says whether
// some were left out because they read already.
func helpful(e *matcher.Engine, a Request, cs []Candidate, part float64, m Urgency) (order []int, reading bool) {
	costs := make([]float64, len(cs))
	for i := range cs {
		c := &cs[i]
		if c.Quota < 1 || c.Unreachable || c.Cold || c.Leaving || !c.slot(m) {
			continue
		}
		// Two parts at one engine are read by turns: each group waits for the
		// other's part, and neither is read sooner.
		if (m == OnTime || m == Late) && c.Load.Parts > 0 {
			reading = true
			continue
		}
		if slices.Contains(a.Tried, c.ID) {
			continue
		}
		costs[i] = c.interference(e, part) + perSecond*(TimeToFirstToken(e, c.Load, part)+c.dislike(a)+failure*c.failing())/1000
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(costs[i], costs[j]) })
	return order, reading
}

// memory chooses which of the engines generates, and what is set aside at the
// others where no engine has room for the whole prompt.
func memory(e *matcher.Engine, a Request, cs []Candidate, order []int, n int, part float64) (Placement, bool) {
	need := a.Prompt + a.Output
	main, least, roomiest := -1, math.Inf(1), -1
	for _, i := range order {
		c := &cs[i]
		if c.Load.Streams >= c.Slots || slices.Contains(a.Tried, c.ID) {
			continue
		}
		if roomiest < 0 || c.free(e) > cs[roomiest].free(e) {
			roomiest = i
		}
		if !c.fits(e, need) {
			continue
		}
		if cost := c.mainCost(e, a, part); cost < least {
			main, least = i, cost
		}
	}
	switch {
	case main >= 0:
		return Placement{Main: main, Helpers: others(order, main, n-1)}, true
	case roomiest >= 0:
		return spread(e, a, cs, order, n, roomiest)
	}
	return Placement{}, false
}

// mainCost is what it costs to have the engine generate. Token steps cost nearly
// the same for one stream as for many, so that a stream on an engine that writes
// none yet takes that engine's time from prompts that it could read.
func (c *Candidate) mainCost(e *matcher.Engine, a Request, part float64) float64 {
	cost := c.interference(e, part) + perSecond*(TimeToFirstToken(e, c.Load, part)+c.dislike(a)+failure*c.failing())/1000
	if c.Load.Streams == 0 {
		cost += perEngineSecond * TypicalOutputShare * float64(a.Output) * e.Step / 1000
	}
	return cost
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
func spread(e *matcher.Engine, a Request, cs []Candidate, order []int, n, main int) (Placement, bool) {
	left := a.Prompt + a.Output - cs[main].free(e)
	roomy := slices.DeleteFunc(slices.Clone(order), func(i int) bool { return i == main })
	slices.SortStableFunc(roomy, func(i, j int) int { return cs[j].free(e) - cs[i].free(e) })
	choice := Placement{Main: main}
	for _, i := range roomy {
		if left <= 0 || len(choice.Reservations) == MaxHelpers {
			break
		}
		take := min(max(left, smallTicket), cs[i].free(e)-ticketRound)
		if take < smallTicket {
			break
		}
		choice.Reservations = append(choice.Reservations, Reservation{Candidate: i, Tokens: take + ticketRound})
		choice.Helpers = append(choice.Helpers, i)
		left -= take
	}
	if left > 0 {
		return Placement{}, false
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
