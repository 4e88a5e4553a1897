package quarantiner

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/heathervane/heathervane/entry/request/fingerprinter"
)

// maxPortionEntries is how many entries one datagram holds, and maxPortionLosses how many
// losses of parts, so that it is not fragmented on its way.
const (
	maxPortionEntries = 20
	maxPortionLosses  = 40
)

// noAge is the age of an event that has not happened.
const noAge = -1

// wireEntry is an Entry with ages in place of times, as the clocks of VMs differ.
type wireEntry struct {
	_                                  struct{} `cbor:",toarray"`
	Fingerprint                        []byte
	Losses                             []wireLoss
	Served, RecordedSince, LastArrival int64
	Confirmed                          int64
	// Stored is what the platform stores about a request that is held. For another one
	// it is StoredHeld if the platform stores all losses.
	Stored StoredState
}

// wireParts are entries of parts of prompts. They are encoded as a map, which VMs of earlier
// builds skip. Requests are the requests of the losses, in the order of the entries.
type wireParts struct {
	Entries  []wireEntry `cbor:"1,keyasint"`
	Requests []uint32    `cbor:"2,keyasint"`
}

// cborMap is the major type of a map, in the upper three bits of its first byte.
const cborMap = 5

type wireLoss struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint32
	// Age is in milliseconds, like all ages here.
	Age int64
}

func ageOf(now, at time.Time) int64 {
	if at.IsZero() {
		return noAge
	}
	return max(0, now.Sub(at).Milliseconds())
}

func timeOf(now time.Time, age int64) time.Time {
	if age < 0 || age > maxHold.Milliseconds() {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// encode encodes entries in portions that fit in one datagram each, those of requests before
// those of parts.
func encode(now time.Time, all []Entry) ([][]byte, error) {
	all = slices.Clone(all)
	slices.SortStableFunc(all, func(a, b Entry) int {
		switch {
		case a.Part == b.Part:
			return 0
		case a.Part:
			return 1
		}
		return -1
	})
	var portions [][]byte
	for len(all) > 0 {
		n := portionSize(all)
		wire := make([]wireEntry, 0, n)
		var requests []uint32
		for i := range all[:n] {
			e := &all[i]
			w := wireEntry{
				Fingerprint: e.Fingerprint[:], Served: ageOf(now, e.Served), RecordedSince: ageOf(now, e.RecordedSince),
				LastArrival: ageOf(now, e.LastArrival), Confirmed: ageOf(now, e.Confirmed), Stored: e.Stored,
			}
			if e.isSuspected() && !e.hasUnstoredLoss(false) {
				w.Stored = StoredHeld
			}
			for _, loss := range e.Losses {
				w.Losses = append(w.Losses, wireLoss{Upstream: loss.Upstream, Age: ageOf(now, loss.At)})
				requests = append(requests, loss.Request)
			}
			wire = append(wire, w)
		}
		var portion any = wire
		if all[0].Part {
			portion = wireParts{wire, requests}
		}
		data, err := cbor.Marshal(portion)
		if err != nil {
			return nil, err
		}
		portions = append(portions, data)
		all = all[n:]
	}
	return portions, nil
}

// portionSize returns how many of the entries the next portion holds.
func portionSize(all []Entry) int {
	losses := 0
	for i := range all {
		e := &all[i]
		if e.Part {
			losses += len(e.Losses)
		}
		if i == maxPortionEntries || e.Part != all[0].Part || (i > 0 && losses > maxPortionLosses) {
			return i
		}
	}
	return len(all)
}

// decode decodes a portion. It skips entries and losses that no VM would send.
func decode(now time.Time, data []byte) ([]Entry, error) {
	isPart := len(data) > 0 && data[0]>>5 == cborMap
	var wire wireParts
	var err error
	if isPart {
		err = cbor.Unmarshal(data, &wire)
	} else {
		err = cbor.Unmarshal(data, &wire.Entries)
	}
	if err != nil {
		return nil, err
	}
	var all []Entry
	next := 0
	for _, w := range wire.Entries {
		first := next
		next += len(w.Losses)
		e := Entry{
			Part: isPart, Served: timeOf(now, w.Served), RecordedSince: timeOf(now, w.RecordedSince), LastArrival: timeOf(now, w.LastArrival),
			Confirmed: timeOf(now, w.Confirmed), Stored: w.Stored,
		}
		if copy(e.Fingerprint[:], w.Fingerprint) != fingerprinter.Size || len(w.Losses) > e.maxLosses() || (isPart && next > len(wire.Requests)) {
			continue
		}
		for i, loss := range w.Losses {
			at := timeOf(now, loss.Age)
			if at.IsZero() {
				continue
			}
			l := Loss{Upstream: loss.Upstream, At: at}
			if isPart {
				l.Request = wire.Requests[first+i]
			}
			e.Losses = append(e.Losses, l)
		}
		if e.isSuspected() && e.Stored != StoredNothing {
			e.Stored = StoredNothing
			e.markLossesStored(e.Losses)
		}
		all = append(all, e)
	}
	return all, nil
}
