package recorder

// ConfigStream is the log stream that holds the configuration.
const ConfigStream = "config"

// MaxManifest is the maximum size of a manifest in a record, in bytes. A record
// of the log holds 1 MiB, and a checkpoint contains the orders and the audit
// trail in addition to the manifest.
const MaxManifest = 768 << 10

// The kinds of records in ConfigStream.
const (
	KindPublish    = "publish"
	KindOrder      = "order"
	KindCheckpoint = "checkpoint"
)

// A Publish proposes a manifest to put in force.
type Publish struct {
	// Base is the version that the manifest is based on: the offset of the
	// publish in force when it was written, or 0 if there was none. If Anew is
	// set, it is the end offset of the stream when it was written.
	Base uint64 `cbor:"base"`
	// Anew says that the manifest replaces the whole configuration, including
	// orders. It is used when the configuration in force can no longer be read
	// from the stream.
	Anew bool `cbor:"anew,omitempty"`
	// Manifest is the TOML, plain or compressed by Compress, of at most
	// MaxManifest bytes.
	Manifest []byte `cbor:"manifest"`
	// Who is the name of the publisher.
	Who string `cbor:"who"`
	// At is the writer's time in Unix milliseconds. It has no effect, because
	// the clocks of writers differ.
	At int64 `cbor:"at"`
	// ID is unique to the record and identifies a record that was appended
	// twice.
	ID string `cbor:"id"`
	// Why is the operator's reason; it may be empty.
	Why string `cbor:"why,omitempty"`
}

// A Target is the kind of object that an Order applies to.
type Target string

// The targets of orders.
const (
	TargetVM       Target = "vm"
	TargetZone     Target = "zone"
	TargetUpstream Target = "upstream"
)

// An Order takes a VM, an availability zone or an upstream out of service, or
// returns it to service.
type Order struct {
	Kind Target `cbor:"kind"`
	Name string `cbor:"name"`
	Out  bool   `cbor:"out"`
	// Base is the end offset of the stream when the order was written, so that
	// an order that is appended much later is refused. 0 disables this check.
	Base uint64 `cbor:"base,omitempty"`
	// Who, At, ID and Why are as in Publish.
	Who string `cbor:"who"`
	At  int64  `cbor:"at"`
	ID  string `cbor:"id"`
	Why string `cbor:"why,omitempty"`
}

// OutOfService holds the names out of service, each with the offset of its
// order.
type OutOfService struct {
	VMs       map[string]uint64 `cbor:"vms,omitempty" json:"vms"`
	Zones     map[string]uint64 `cbor:"zones,omitempty" json:"zones"`
	Upstreams map[string]uint64 `cbor:"upstreams,omitempty" json:"upstreams"`
}

// A Change is one entry of the audit trail.
type Change struct {
	// Offset is the offset of the change's record in the stream.
	Offset uint64 `cbor:"offset" json:"offset"`
	// At is the time that the log gave the record, in Unix milliseconds.
	At int64 `cbor:"at" json:"at"`
	// Who requested the change, and What it was.
	Who  string `cbor:"who" json:"who"`
	What string `cbor:"what" json:"what"`
	// Accepted says whether the change took effect; Reason says why it did not.
	Accepted bool   `cbor:"accepted" json:"accepted"`
	Reason   string `cbor:"reason,omitempty" json:"reason,omitempty"`
	// Why is the operator's reason, and ID the record's ID.
	Why string `cbor:"why,omitempty" json:"why,omitempty"`
	ID  string `cbor:"id" json:"id"`
}

// A Checkpoint is the whole configuration after all records up to LastOffset.
// VMs also send it to one another. A new one is written well before the log
// drops the last one, because the records that it summarises are dropped too.
type Checkpoint struct {
	// Version is the offset of the publish in force, or 0 if there is none.
	Version uint64 `cbor:"version"`
	// Manifest holds the bytes from the record of that publish.
	Manifest     []byte       `cbor:"manifest"`
	OutOfService OutOfService `cbor:"outs"`
	// LastOffset is the offset of the last record that the writer had applied.
	LastOffset uint64 `cbor:"read"`
	// Anew is the offset of the last publish anew, or 0 if there is none.
	Anew uint64 `cbor:"anew,omitempty"`
	// Audit holds the newest entries of the audit trail, oldest first.
	Audit []Change `cbor:"audit"`
}
