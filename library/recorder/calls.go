package recorder

// CallStream is the log stream that decides which attempt of a call with an
// idempotency key runs.
const CallStream = "calls"

// KindCalls is the kind of the records in CallStream; each is a CallBatch.
const KindCalls = "calls"

const (
	// MaxCalls is the maximum number of entries in a record.
	MaxCalls = 256
	// maxOutcomeBody is the maximum size of the body of an outcome, in bytes.
	// It is larger than the bodies that VMs keep.
	maxOutcomeBody = 64 << 10
	// MaxHeaders is the maximum number of headers of an outcome.
	MaxHeaders = 32
)

// A Hash is the first 16 bytes of a SHA-256 digest.
type Hash [16]byte

// A CallBatch holds the entries that a VM appends in one record. They take
// effect in list order at the record's offset.
type CallBatch struct {
	Calls []CallEntry `cbor:"calls,omitempty"`
}

// A CallEntry is one step of an attempt. Exactly one of Intent, Outcome and
// Abandon is set.
type CallEntry struct {
	// Key is the hash of the team, the service and the caller's key.
	Key Hash `cbor:"key"`
	// Attempt identifies the attempt among those of all VMs.
	Attempt Attempt `cbor:"attempt"`
	// Intent is appended before the call is sent. The first intent for a key
	// wins.
	Intent *Intent `cbor:"intent,omitempty"`
	// Outcome is appended after the call was sent.
	Outcome *Outcome `cbor:"outcome,omitempty"`
	// Abandon says that the attempt has not sent the call and never will.
	Abandon bool `cbor:"abandon,omitempty"`
}

// An Attempt identifies an attempt uniquely.
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

// An Outcome is the result of a call that was sent.
type Outcome struct {
	// Unknown says that the call may or may not have run; no other field is
	// set.
	Unknown bool `cbor:"unknown,omitempty"`
	// Status is the HTTP status of the upstream's response.
	Status int `cbor:"status,omitempty"`
	// Header holds the headers that repetitions of the call also receive.
	Header map[string]string `cbor:"header,omitempty"`
	// Body is the response body if Kept is set. Longer bodies are not kept.
	Body []byte `cbor:"body,omitempty"`
	Kept bool   `cbor:"kept,omitempty"`
}

// UnwrapCalls decodes a record of CallStream. It refuses records that VMs of
// this version never write, so that all VMs skip the same records.
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
	if c.Attempt.VM == "" || len(c.Attempt.VM) > maxKindBytes {
		return ErrDecode.New("attempt.vm has %d bytes, expected 1 to %d", len(c.Attempt.VM), maxKindBytes)
	}
	if o := c.Outcome; o != nil && (len(o.Body) > maxOutcomeBody || len(o.Header) > MaxHeaders) {
		return ErrDecode.New("outcome has %d bytes and %d headers, at most %d and %d",
			len(o.Body), len(o.Header), maxOutcomeBody, MaxHeaders)
	}
	return nil
}
