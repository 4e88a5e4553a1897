package recorder

// CallStream is the stream that decides which attempt of a keyed call runs.
const CallStream = "calls"

// KindCalls is the kind of the records of the stream Calls; each is a
// CallBatch.
const KindCalls = "calls"

const (
	// MaxCalls bounds the entries of one record.
	MaxCalls = 256
	// maxOutcome bounds an outcome's body in bytes, with a margin above what
	// VMs keep.
	maxOutcome = 64 << 10
	// MaxHeaders bounds an outcome's headers.
	MaxHeaders = 32
)

// A Hash is the first half of a SHA-256.
type Hash [16]byte

// A CallBatch is what one VM appends at once. Its entries come one after the
// other, in the order of the list, at the place of the record.
type CallBatch struct {
	Calls []CallEntry `cbor:"calls,omitempty"`
}

// A CallEntry is one step of an attempt; exactly one of Intent, Outcome and
// Abandon is set.
type CallEntry struct {
	// Key is the hash of the team, the service and the caller's key.
	Key Hash `cbor:"key"`
	// Attempt tells apart all attempts of all VMs.
	Attempt Attempt `cbor:"attempt"`
	// Intent comes before the call is sent. The first of a key wins.
	Intent *Intent `cbor:"intent,omitempty"`
	// Outcome comes after the call was sent.
	Outcome *Outcome `cbor:"outcome,omitempty"`
	// Abandon says that the attempt has sent nothing, and never will.
	Abandon bool `cbor:"abandon,omitempty"`
}

// An Attempt is the number of an attempt; none is used twice.
type Attempt struct {
	VM   string `cbor:"vm"`
	Boot uint64 `cbor:"boot"`
	Seq  uint64 `cbor:"seq"`
}

// An Intent announces an attempt.
type Intent struct {
	// Print is the hash of the call's method, path and body.
	Print Hash `cbor:"print"`
}

// An Outcome is what became of a call that was sent.
type Outcome struct {
	// Unknown says that the call may have run or not; nothing else is set.
	Unknown bool `cbor:"unknown,omitempty"`
	// Status is the upstream's HTTP status.
	Status int `cbor:"status,omitempty"`
	// Header are the headers that a repetition gets too.
	Header map[string]string `cbor:"header,omitempty"`
	// Body is the answer's body where Kept is set. A longer one isn't kept.
	Body []byte `cbor:"body,omitempty"`
	Kept bool   `cbor:"kept,omitempty"`
}

// UnwrapCalls reads a record of the stream Calls. It refuses a record that VMs
// of this version never write, so that all skip the same ones.
func UnwrapCalls(data []byte) (CallBatch, error) {
	b, err := Unwrap[CallBatch](data)
	if err != nil {
		return CallBatch{}, err
	}
	if len(b.Calls) > MaxCalls {
		return CallBatch{}, ErrDecode.New("%d calls, at most %d", len(b.Calls), MaxCalls)
	}
	for i, c := range b.Calls {
		if err := c.check(); err != nil {
			return CallBatch{}, ErrDecode.New("calls[%d]: %v", i, err)
		}
	}
	return b, nil
}

func (c CallEntry) check() error {
	set := 0
	for _, is := range []bool{c.Intent != nil, c.Outcome != nil, c.Abandon} {
		if is {
			set++
		}
	}
	if set != 1 {
		return ErrDecode.New("%d of intent, outcome and abandon are set, expected 1", set)
	}
	if c.Attempt.VM == "" || len(c.Attempt.VM) > maxKind {
		return ErrDecode.New("attempt.vm has %d bytes, expected 1 to %d", len(c.Attempt.VM), maxKind)
	}
	if o := c.Outcome; o != nil && (len(o.Body) > maxOutcome || len(o.Header) > MaxHeaders) {
		return ErrDecode.New("outcome has %d bytes and %d headers, at most %d and %d",
			len(o.Body), len(o.Header), maxOutcome, MaxHeaders)
	}
	return nil
}
