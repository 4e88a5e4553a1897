package recorder

// QuarantineStream is the stream of requests that crash whoever runs them, and
// KindQuarantine the kind of its records.
const (
	QuarantineStream = "quarantine"
	KindQuarantine   = "quarantine"
)

// A QuarantineRecord is what one VM knows of some requests, in VMs' own encoding,
// with ages as of the record's time.
type QuarantineRecord struct {
	Part []byte `cbor:"1,keyasint"`
}
