package folder

import "github.com/zeebo/errs"

// ErrLogTruncated is the class of answers of a log that ends before what has been read
// of it. Its records would be taken for later ones than those read before.
var ErrLogTruncated = errs.Class("log went back")

// A Batch is an answer of the log: Start is the first offset that it still
// keeps, End the next one to be given, and Records are in the order of offsets.
type Batch struct {
	Start, End uint64
	Records    []Record
}

// A Step is what one record did to the state of a Reader.
type Step struct {
	Record Record
	// Before is the state before the record, nil where there was none.
	Before *State
	// After is the state after it.
	After State
	// Bootstrapped says that After was founded on the record. Else Verdict is that
	// of Apply.
	Bootstrapped bool
	Verdict      Verdict
}

// CheckpointWindow is how many records back from the end a reader first looks for a
// checkpoint. VMs write one at least so often, so that to start costs about so
// many records, however many the log keeps.
const CheckpointWindow = 64

// widen is how much further back each look goes where the one before has found
// none.
const widen = 4

// A Reader folds batches, and searches for a record to found a state on where
// it has none, or where the log has dropped what it needs next. It asks for
// nothing itself: whoever drives it reads the log from Next on.
type Reader struct {
	window uint64
	state  *State
	gap    bool
	// low is where the present look through the stream began, 0 before the
	// first, and search the next offset to look at.
	low, search uint64
	lost        bool
}

// NewReader returns a Reader that has read nothing and first looks for a
// checkpoint so many records back from the end; 0 has it read from the first
// record on.
func NewReader(window uint64) *Reader { return &Reader{window: window} }

// State is the state folded so far, nil where there is none.
func (r *Reader) State() *State { return r.state }

// HasGap says that there is a state, and that the log dropped records after it
// before they were read.
func (r *Reader) HasGap() bool { return r.gap }

// Next is the offset to read from.
func (r *Reader) Next() uint64 {
	if r.state != nil && !r.gap {
		return r.state.LastOffset + 1
	}
	return max(r.search, 1)
}

// SetState goes on from a state that came from elsewhere.
func (r *Reader) SetState(s State) { *r = Reader{window: r.window, state: &s} }

// Process folds the answer to a read from an offset on, and returns what each
// record did. An answer to a read from elsewhere than Next is left out, since
// the state has jumped meanwhile. The error is of the class ErrBack.
func (r *Reader) Process(from uint64, b Batch) ([]Step, error) {
	if from != r.Next() {
		return nil, nil
	}
	if r.state == nil && !r.begin(b) {
		return nil, nil
	}
	if r.state != nil && b.End <= r.state.LastOffset {
		return nil, ErrLogTruncated.New("it ends at %d, and %d has been read", b.End, r.state.LastOffset)
	}
	if r.state == nil || b.Start > r.state.LastOffset+1 {
		return r.seek(b), nil
	}
	r.gap, r.lost, r.search = false, false, 0
	steps := make([]Step, 0, len(b.Records))
	for _, record := range b.Records {
		before := r.state
		after, v := Apply(*before, record)
		r.state = &after
		steps = append(steps, Step{Record: record, Before: before, After: after, Verdict: v})
	}
	return steps, nil
}

// begin chooses where to look for a first state, and says whether the batch
// serves for it. Where nothing was ever dropped, and no checkpoint is near the
// end, it is the state before the first record.
func (r *Reader) begin(b Batch) bool {
	switch {
	case r.search > b.End:
		r.low, r.search = 0, 0 // the log has gone back
		return false
	case r.low == 0 && r.window > 0 && b.End > b.Start+r.window:
		r.low = b.End - r.window
		r.search = r.low
		return false
	case r.low == 0:
		r.low = b.Start
	}
	if b.Start <= 1 && r.low <= 1 {
		r.state = &State{}
	}
	return true
}

// seek looks for a record to found a state on, and stops at the first one: the
// reading goes on after its Read.
func (r *Reader) seek(b Batch) []Step {
	r.gap = r.state != nil
	r.search = max(r.search, b.Start)
	for _, record := range b.Records {
		if record.Offset < r.search {
			continue
		}
		r.search = record.Offset + 1
		if s, ok := Bootstrap(r.state, b.Start, max(b.Start, r.low), record); ok {
			before := r.state
			r.SetState(s)
			return []Step{{Record: record, Before: before, After: s, Bootstrapped: true}}
		}
	}
	r.lost = r.search >= b.End && (r.gap || r.low <= b.Start)
	if r.search >= b.End && !r.lost {
		back := widen * (b.End - r.low)
		r.low = max(b.Start, r.low-min(r.low, back))
		r.search = r.low
	}
	return nil
}

// Exhausted says that there is no state to go on from, and that everything the log
// keeps has been looked through for one.
func (r *Reader) Exhausted() bool { return r.lost }
