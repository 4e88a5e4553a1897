package folder

import "github.com/zeebo/errs"

// ErrLogTruncated is the class of errors about a log that ends before the last
// record that was read. Its records would otherwise be mistaken for later ones
// than those read before.
var ErrLogTruncated = errs.Class("log went back")

// A Batch is the response to a read of the log. Start is the first offset that
// the log still keeps, End the offset that the next record will get, and
// Records are in offset order.
type Batch struct {
	Start, End uint64
	Records    []Record
}

// A Step is the effect of one record on the state of a Reader.
type Step struct {
	Record Record
	// Before is the state before the record, or nil if there was none.
	Before *State
	// After is the state after the record.
	After State
	// Bootstrapped says that After was derived from the record by Bootstrap.
	// Otherwise Verdict is the one that Apply returned.
	Bootstrapped bool
	Verdict      Verdict
}

// CheckpointWindow is how many records before the end a reader first searches
// for a checkpoint. VMs write a checkpoint at least that often, so starting
// costs about that many records, however many the log keeps.
const CheckpointWindow = 64

// searchGrowth is how much further back than the last one each new search goes,
// as a multiple of the last one's distance from the end.
const searchGrowth = 4

// A Reader applies batches of records. If it has no state, or if the log has
// dropped the next record that it needs, it searches for a record to bootstrap
// from. It does no I/O: the caller reads the log from Next on.
type Reader struct {
	window uint64
	state  *State
	hasGap bool
	// searchStart is the offset at which the current search began, or 0 before
	// the first search, and searchNext the next offset to search.
	searchStart, searchNext uint64
	exhausted               bool
}

// NewReader returns a Reader without a state that first searches for a
// checkpoint in the last window records. If window is 0, it starts at the first
// record.
func NewReader(window uint64) *Reader { return &Reader{window: window} }

// State returns the current state, or nil if there is none.
func (r *Reader) State() *State { return r.state }

// HasGap reports whether there is a state and the log dropped records after it
// before they were read.
func (r *Reader) HasGap() bool { return r.hasGap }

// Next returns the offset to read from.
func (r *Reader) Next() uint64 {
	if r.state != nil && !r.hasGap {
		return r.state.LastOffset + 1
	}
	return max(r.searchNext, 1)
}

// SetState continues from a state that was obtained elsewhere, such as from
// another VM.
func (r *Reader) SetState(s State) { *r = Reader{window: r.window, state: &s} }

// Process applies the response to a read from the given offset, and returns the
// effect of each record. If from is no longer Next, because the state was
// replaced in the meantime, the batch is ignored. Errors are of the class
// ErrLogTruncated.
func (r *Reader) Process(from uint64, b Batch) ([]Step, error) {
	if from != r.Next() {
		return nil, nil
	}
	if r.state == nil && !r.startSearch(b) {
		return nil, nil
	}
	if r.state != nil && b.End <= r.state.LastOffset {
		return nil, ErrLogTruncated.New("it ends at %d, and %d has been read", b.End, r.state.LastOffset)
	}
	if r.state == nil || b.Start > r.state.LastOffset+1 {
		return r.searchState(b), nil
	}
	r.hasGap, r.exhausted, r.searchNext = false, false, 0
	steps := make([]Step, 0, len(b.Records))
	for _, record := range b.Records {
		before := r.state
		after, v := Apply(*before, record)
		r.state = &after
		steps = append(steps, Step{Record: record, Before: before, After: after, Verdict: v})
	}
	return steps, nil
}

// startSearch chooses where to search for a first state, and reports whether
// the batch can be used for it. If the log has never dropped a record and there
// is no checkpoint near the end, the first state is the zero State.
func (r *Reader) startSearch(b Batch) bool {
	switch {
	case r.searchNext > b.End:
		r.searchStart, r.searchNext = 0, 0 // the log was truncated
		return false
	case r.searchStart == 0 && r.window > 0 && b.End > b.Start+r.window:
		r.searchStart = b.End - r.window
		r.searchNext = r.searchStart
		return false
	case r.searchStart == 0:
		r.searchStart = b.Start
	}
	if b.Start <= 1 && r.searchStart <= 1 {
		r.state = &State{}
	}
	return true
}

// searchState searches the batch for a record to bootstrap from, and stops at
// the first one. Reading then continues after the LastOffset of the new state.
func (r *Reader) searchState(b Batch) []Step {
	r.hasGap = r.state != nil
	r.searchNext = max(r.searchNext, b.Start)
	for _, record := range b.Records {
		if record.Offset < r.searchNext {
			continue
		}
		r.searchNext = record.Offset + 1
		if s, ok := Bootstrap(r.state, b.Start, max(b.Start, r.searchStart), record); ok {
			before := r.state
			r.SetState(s)
			return []Step{{Record: record, Before: before, After: s, Bootstrapped: true}}
		}
	}
	r.exhausted = r.searchNext >= b.End && (r.hasGap || r.searchStart <= b.Start)
	if r.searchNext >= b.End && !r.exhausted {
		back := searchGrowth * (b.End - r.searchStart)
		r.searchStart = max(b.Start, r.searchStart-min(r.searchStart, back))
		r.searchNext = r.searchStart
	}
	return nil
}

// Exhausted reports whether there is no state to continue from and every record
// that the log keeps has been searched for one.
func (r *Reader) Exhausted() bool { return r.exhausted }
