package quarantiner

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/heathervane/heathervane/entry/request/fingerprinter"
)

// maxPartEntries is how many entries one datagram holds, so that it is not fragmented
// on its way.
const maxPartEntries = 20

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

// encode encodes entries in parts that fit in one datagram each.
func encode(now time.Time, all []Entry) ([][]byte, error) {
	var parts [][]byte
	for len(all) > 0 {
		n := min(maxPartEntries, len(all))
		wire := make([]wireEntry, 0, n)
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
			}
			wire = append(wire, w)
		}
		data, err := cbor.Marshal(wire)
		if err != nil {
			return nil, err
		}
		parts = append(parts, data)
		all = all[n:]
	}
	return parts, nil
}

// decode decodes a part. It skips entries and losses that no VM would send.
func decode(now time.Time, data []byte) ([]Entry, error) {
	var wire []wireEntry
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return nil, err
	}
	var all []Entry
	for _, w := range wire {
		e := Entry{
			Served: timeOf(now, w.Served), RecordedSince: timeOf(now, w.RecordedSince), LastArrival: timeOf(now, w.LastArrival),
			Confirmed: timeOf(now, w.Confirmed), Stored: w.Stored,
		}
		if copy(e.Fingerprint[:], w.Fingerprint) != fingerprinter.Size || len(w.Losses) > maxLosses {
			continue
		}
		for _, loss := range w.Losses {
			if at := timeOf(now, loss.Age); !at.IsZero() {
				e.Losses = append(e.Losses, Loss{Upstream: loss.Upstream, At: at})
			}
		}
		if e.isSuspected() && e.Stored != StoredNothing {
			e.Stored = StoredNothing
			e.markLossesStored(e.Losses)
		}
		all = append(all, e)
	}
	return all, nil
}
