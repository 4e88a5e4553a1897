package gossiper

import (
	"time"

	"github.com/heathervane/heathervane/entry/request/placer"
)

// load is the wire form of a placer.Load.
type load struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Streams  int
	Context  int
	Unread   float32
	Starting int
	Parts    int
	// Stakes are steps, each followed by what is at stake there.
	Stakes []int32
	// Failed and Answered count the sender's requests there since it knows the
	// upstream, so that a lost datagram loses no count.
	Failed, Answered uint32
}

// message is one datagram. Changes of work are told as they come, to every VM,
// so that such a datagram holds nothing else.
type message struct {
	VM    string `cbor:"1,keyasint"`
	Boot  int64  `cbor:"2,keyasint"`
	Seq   uint64 `cbor:"3,keyasint"`
	Loads []load `cbor:"4,keyasint,omitempty"`
	Beat  *beat  `cbor:"5,keyasint,omitempty"`
	Bye   bool   `cbor:"6,keyasint,omitempty"`
	// Heads are the first prompts that wait at the sender, of each length.
	Heads []head `cbor:"7,keyasint,omitempty"`
}

// beat is what a VM tells every beatEvery.
type beat struct {
	Zone string           `cbor:"1,keyasint"`
	Ends map[string]int64 `cbor:"2,keyasint,omitempty"`
	// Ages are how long ago the platform confirmed Ends, in milliseconds.
	Ages map[string]int64 `cbor:"3,keyasint,omitempty"`
	// Failing are the streams whose last reading failed.
	Failing []string `cbor:"5,keyasint,omitempty"`
	// Silent are upstreams that the sender cannot reach.
	Silent []string `cbor:"4,keyasint,omitempty"`
}

// head is the wire form of a Head. Its latest start is told as the milliseconds
// until then: clocks of VMs differ.
type head struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Long    bool
	Late    bool
	In      int64
}

// A Head is the first of the prompts that wait at a VM for a service, of the long
// or of the short ones: whether it is late already, and its latest start in time.
type Head struct {
	Service string
	Long    bool
	Late    bool
	Start   time.Time
}

// before says that a head goes before another one that waits for the same.
func (h Head) before(o Head) bool {
	if h.Service != o.Service || h.Long != o.Long {
		return false
	}
	if h.Late != o.Late {
		return o.Late
	}
	return h.Start.Before(o.Start)
}

// sparse is the wire form of stakes: streams at one upstream bear few different
// pauses, so that most steps are empty.
func sparse(s placer.Stakes) []int32 {
	var out []int32
	for step, n := range s {
		if n != 0 {
			out = append(out, int32(step), n)
		}
	}
	return out
}

// dense is the inverse of sparse. Steps that this VM does not know are left out.
func dense(pairs []int32) (s placer.Stakes) {
	for i := 0; i+1 < len(pairs); i += 2 {
		if step := pairs[i]; step >= 0 && step < placer.Steps {
			s[step] = pairs[i+1]
		}
	}
	return s
}
