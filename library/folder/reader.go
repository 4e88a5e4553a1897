package folder

import "github.com/zeebo/errs"

// ErrBack is the class of answers of a log that ends before what has been read
// of it. Its records would be taken for later ones than those read before.
var ErrBack = errs.Class("log went back")

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
	// Found says that After was founded on the record. Else Verdict is that
	// of Apply.
	Found   bool
	Verdict Verdict
}

// A Reader folds batches, and searches for a record to found a state on where
// the log has dropped what it needs next. The zero Reader has read nothing. It
// asks for nothing itself: whoever drives it reads the log from Next on.
type Reader struct {
	state  *State
	search uint64
	gap    bool
}

// State is the state folded so far, nil where there is none.
func (r *Reader) State() *State { return r.state }

// Gap says that there is a state, and that the log dropped records after it
// before they were read.
func (r *Reader) Gap() bool { return r.gap }

// Next is the offset to read from.
func (r *Reader) Next() uint64 {
	if r.state != nil && !r.gap {
		return r.state.Read + 1
	}
	return max(r.search, 1)
}

// Jump goes on from a state that came from elsewhere.
func (r *Reader) Jump(s State) { r.state, r.search, r.gap = &s, 0, false }

// Take folds the answer to a read from an offset on, and returns what each
// record did. An answer to a read from elsewhere than Next is left out, since
// the state has jumped meanwhile. The error is of the class ErrBack.
func (r *Reader) Take(from uint64, b Batch) ([]Step, error) {
	if from != r.Next() {
		return nil, nil
	}
	if r.state == nil && b.Start <= 1 {
		// Nothing was ever dropped, so the state before the first record is
		// known.
		r.state = &State{}
	}
	if r.state != nil && b.End <= r.state.Read {
		return nil, ErrBack.New("it ends at %d, and %d has been read", b.End, r.state.Read)
	}
	if r.state == nil || b.Start > r.state.Read+1 {
		return r.seek(b), nil
	}
	r.gap, r.search = false, 0
	steps := make([]Step, 0, len(b.Records))
	for _, record := range b.Records {
		before := r.state
		after, v := Apply(*before, record)
		r.state = &after
		steps = append(steps, Step{Record: record, Before: before, After: after, Verdict: v})
	}
	return steps, nil
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
		if s, ok := Found(r.state, b.Start, record); ok {
			before := r.state
			r.Jump(s)
			return []Step{{Record: record, Before: before, After: s, Found: true}}
		}
	}
	return nil
}

// Searching says that batches have been taken and no state been found.
func (r *Reader) Searching() bool { return r.search > 0 }
