package gossiper

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heathervane/heathervane/entry/process/allocator"
)

// message is one datagram: what a VM says of itself and, from one that relays,
// what it has heard of others.
type message struct {
	VM   string `cbor:"1,keyasint"`
	Boot int64  `cbor:"2,keyasint"`
	Seq  uint64 `cbor:"3,keyasint"`
	Zone string `cbor:"4,keyasint"`
	// Power is the part of a core that its machine gives it.
	Power float32 `cbor:"5,keyasint,omitempty"`
	// Leaving says that the sender is about to stop, Bye that it ends.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	Bye     bool `cbor:"7,keyasint,omitempty"`
	// Streams are how far it has read.
	Streams []wireStream `cbor:"8,keyasint,omitempty"`
	// Far is the freshest reading of each stream that it has heard of directly
	// from another zone.
	Far []wireFar `cbor:"9,keyasint,omitempty"`
	// Refused are the digests of VMs of the sender's zone that the platform does
	// not let read.
	Refused []uint32 `cbor:"12,keyasint,omitempty"`
	// Reply says that this answers a VM that has just started.
	Reply bool `cbor:"13,keyasint,omitempty"`
	// Alive is how long ago VMs were heard, as digests and ages one after the
	// other; Peers are some of them in full.
	Alive []byte     `cbor:"10,keyasint,omitempty"`
	Peers []wirePeer `cbor:"11,keyasint,omitempty"`
	// Shared is a part of what all VMs know together, in its own encoding.
	Shared []byte `cbor:"14,keyasint,omitempty"`
}

type wireStream struct {
	_    struct{} `cbor:",toarray"`
	Name string
	End  int64
	// Age is how long ago the platform confirmed the end to this VM itself, in
	// milliseconds; -1 where it never did.
	Age     int64
	Failing bool
}

// unconfirmed is the age of an end that the platform has not confirmed.
const unconfirmed = -1

type wireFar struct {
	_       struct{} `cbor:",toarray"`
	Address string
	Name    string
	End     int64
	Age     int64
}

type wirePeer struct {
	_           struct{} `cbor:",toarray"`
	VM, Address string
	Zone        string
	Power       float32
	Leaving     bool
}

func (w *wirePeer) member() (allocator.Member, bool) {
	address, err := netip.ParseAddrPort(w.Address)
	return allocator.Member{VM: w.VM, Address: address, Zone: w.Zone, Cores: float64(w.Power)}, err == nil
}

// ageUnit is that of the ages of VMs, of which one byte holds the most.
const (
	ageUnit    = 100 * time.Millisecond
	mostAge    = 255
	digestSize = 4
	aliveSize  = digestSize + 1
)

// digest stands for a VM's name.
func digest(vm string) uint32 { return uint32(xxhash.Sum64String(vm)) }
