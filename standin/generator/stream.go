package generator

import (
	"time"
)

// states of a stream.
type state int

const (
	waits   state = iota // in the queue
	reads                // its prompt is being read
	makes                // its answer is being made
	made                 // all tokens are made, or the part is read
	freed                // delivered or cancelled; only its id is kept
	cut                  // the engine fell over or was made cold
	stopped              // cancelled
)

// kinds of what holds memory.
const (
	kindStream = "stream"
	kindPart   = "part"
)

// A stream is one request in the engine: an answer, or one part of a prompt.
type stream struct {
	id, vm  string
	boot    uint64
	kind    string
	prompt  prompt
	cached  int     // tokens of the prompt found in the prefix cache
	left    float64 // tokens of the prompt still to be read
	done    float64 // tokens of the answer made, with the fraction of the next
	tokens  int     // tokens that the answer will have
	reason  string
	order   priority
	memory  int
	state   state
	since   time.Time // of its arrival
	ended   time.Time
	told    int // tokens that its readers were woken for
	toldAt  time.Time
	epoch   int // counts how often its readers were cut
	readers map[chan struct{}]struct{}
}

// priority orders streams: higher level first, then first come.
type priority struct {
	level   int
	arrived uint64
}

// before says whether p goes before q.
func (p priority) before(q priority) bool {
	if p.level != q.level {
		return p.level > q.level
	}
	return p.arrived < q.arrived
}

// notify wakes the readers. A reader that is already due to wake is left.
func (s *stream) notify() {
	for r := range s.readers {
		select {
		case r <- struct{}{}:
		default:
		}
	}
}

// ready is how many tokens of the answer can be sent.
func (s *stream) ready() int { return min(int(s.done), s.tokens) }

// holds says whether it takes memory.
func (s *stream) holds() bool { return s.state <= made }
