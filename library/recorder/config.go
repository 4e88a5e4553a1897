package recorder

// ConfigStream is the stream of the log that holds the configuration.
const ConfigStream = "config"

// MaxManifest is the longest manifest in a record, in bytes. A record of the log
// holds 1 MiB, and a checkpoint carries the orders and the audit trail beside
// the manifest.
const MaxManifest = 768 << 10

// The kinds of records in ConfigStream.
const (
	KindPublish    = "publish"
	KindOrder      = "order"
	KindCheckpoint = "checkpoint"
)

// A Publish puts a manifest forward to be in force.
type Publish struct {
	// Base is the version that the manifest builds on: the offset of the
	// publish in force when it was written, or 0 where there was none. With
	// Anew it is the end of the stream when it was written.
	Base uint64 `cbor:"base"`
	// Anew says that the manifest replaces everything, orders too. It is for
	// a stream of which the configuration in force has been lost.
	Anew bool `cbor:"anew,omitempty"`
	// Manifest is its TOML, as it is or as Pack makes it, at most MaxManifest
	// bytes long.
	Manifest []byte `cbor:"manifest"`
	// Who published it, by name.
	Who string `cbor:"who"`
	// At is the writer's own time in Unix milliseconds. Nothing is decided by
	// it, because writers' clocks differ.
	At int64 `cbor:"at"`
	// ID is unique to the record. A record that was appended twice is known
	// by it.
	ID string `cbor:"id"`
	// Why is the operator's reason; it may be empty.
	Why string `cbor:"why,omitempty"`
}

// A Target is what an Order is about.
type Target string

// The targets of orders.
const (
	TargetVM       Target = "vm"
	TargetZone     Target = "zone"
	TargetUpstream Target = "upstream"
)

// An Order takes a VM, an availability zone or an upstream out of service, or
// brings it back in.
type Order struct {
	Kind Target `cbor:"kind"`
	Name string `cbor:"name"`
	Out  bool   `cbor:"out"`
	// Base is the end of the stream when the order was written, so that an
	// order that lands much later is refused; 0 leaves that unsaid.
	Base uint64 `cbor:"base,omitempty"`
	// Who, At, ID and Why are as in Publish.
	Who string `cbor:"who"`
	At  int64  `cbor:"at"`
	ID  string `cbor:"id"`
	Why string `cbor:"why,omitempty"`
}

// OutOfService are the names out of service, each with the offset of its order.
type OutOfService struct {
	VMs       map[string]uint64 `cbor:"vms,omitempty" json:"vms"`
	Zones     map[string]uint64 `cbor:"zones,omitempty" json:"zones"`
	Upstreams map[string]uint64 `cbor:"upstreams,omitempty" json:"upstreams"`
}

// A Change is one line of the audit trail.
type Change struct {
	// Offset is where the record of the change stands in the stream.
	Offset uint64 `cbor:"offset" json:"offset"`
	// At is the log's time of the record in Unix milliseconds.
	At int64 `cbor:"at" json:"at"`
	// Who asked for it, and What they asked for.
	Who  string `cbor:"who" json:"who"`
	What string `cbor:"what" json:"what"`
	// Accepted says whether it took effect; Reason says why it did not.
	Accepted bool   `cbor:"accepted" json:"accepted"`
	Reason   string `cbor:"reason,omitempty" json:"reason,omitempty"`
	// Why is the operator's own reason, and ID the record's.
	Why string `cbor:"why,omitempty" json:"why,omitempty"`
	ID  string `cbor:"id" json:"id"`
}

// A Checkpoint is the whole configuration after the records up to Read. VMs
// also send it to one another. It is written again well before the log drops
// the last one, because the records that it stands for are dropped too.
type Checkpoint struct {
	// Version is the offset of the publish in force, 0 for none.
	Version uint64 `cbor:"version"`
	// Manifest is that version's, in the bytes that its publish carried.
	Manifest     []byte       `cbor:"manifest"`
	OutOfService OutOfService `cbor:"outs"`
	// LastOffset is the last offset that the writer had read.
	LastOffset uint64 `cbor:"read"`
	// Anew is the offset of the last publish anew, 0 for none.
	Anew uint64 `cbor:"anew,omitempty"`
	// Audit is the end of the audit trail, oldest first.
	Audit []Change `cbor:"audit"`
}
