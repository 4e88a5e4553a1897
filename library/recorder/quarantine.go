package recorder

// QuarantineStream is the log stream that holds information about requests that
// crash the upstreams that run them, and KindQuarantine the kind of its
// records.
const (
	QuarantineStream = "quarantine"
	KindQuarantine   = "quarantine"
)

// A QuarantineRecord holds what one VM knows about some of these requests. Part
// has an encoding of its own, with ages relative to the record's time.
type QuarantineRecord struct {
	Part []byte `cbor:"1,keyasint"`
}
