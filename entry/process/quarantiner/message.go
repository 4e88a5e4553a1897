package quarantiner

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/heathervane/heathervane/entry/request/fingerprinter"
)

// mostPart is how many entries one datagram holds: it should not be split on its way.
const mostPart = 20

// never is the age of what has not happened.
const never = -1

// wireEntry is an entry with ages in place of times: VMs' clocks differ.
type wireEntry struct {
	_                   struct{} `cbor:",toarray"`
	Fingerprint         []byte
	Losses              []wireLoss
	Served, Held, Asked int64
	Confirmed           int64
	Stored              Stored
}

type wireLoss struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint32
	// Age is in milliseconds, like all ages here.
	Age int64
}

func age(now, at time.Time) int64 {
	if at.IsZero() {
		return never
	}
	return max(0, now.Sub(at).Milliseconds())
}

func since(now time.Time, ms int64) time.Time {
	if ms < 0 || ms > longestHold.Milliseconds() {
		return time.Time{}
	}
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// encode makes datagrams' parts of entries.
func encode(now time.Time, all []Entry) ([][]byte, error) {
	var parts [][]byte
	for len(all) > 0 {
		n := min(mostPart, len(all))
		wire := make([]wireEntry, 0, n)
		for i := range all[:n] {
			e := &all[i]
			w := wireEntry{
				Fingerprint: e.Fingerprint[:], Served: age(now, e.Served), Held: age(now, e.Held),
				Asked: age(now, e.Asked), Confirmed: age(now, e.Confirmed), Stored: e.Stored,
			}
			for _, loss := range e.Losses {
				w.Losses = append(w.Losses, wireLoss{Upstream: loss.Upstream, Age: age(now, loss.At)})
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

// decode reads such a part. What another VM cannot mean is left out.
func decode(now time.Time, data []byte) ([]Entry, error) {
	var wire []wireEntry
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return nil, err
	}
	var all []Entry
	for _, w := range wire {
		e := Entry{
			Served: since(now, w.Served), Held: since(now, w.Held), Asked: since(now, w.Asked),
			Confirmed: since(now, w.Confirmed), Stored: w.Stored,
		}
		if copy(e.Fingerprint[:], w.Fingerprint) != fingerprinter.Size || len(w.Losses) > mostLosses {
			continue
		}
		for _, loss := range w.Losses {
			if at := since(now, loss.Age); !at.IsZero() {
				e.Losses = append(e.Losses, Loss{Upstream: loss.Upstream, At: at})
			}
		}
		all = append(all, e)
	}
	return all, nil
}
