package gossiper

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heathervane/heathervane/entry/process/allocator"
)

// message is the content of one datagram: the sender's own state and, from a relay, what
// it knows of other VMs.
type message struct {
	VM   string `cbor:"1,keyasint"`
	Boot int64  `cbor:"2,keyasint"`
	Seq  uint64 `cbor:"3,keyasint"`
	Zone string `cbor:"4,keyasint"`
	// Power is the share of CPU cores that the host gives the sender.
	Power float32 `cbor:"5,keyasint,omitempty"`
	// Leaving is set when the sender is about to stop, and Exiting when its process exits.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	Exiting bool `cbor:"7,keyasint,omitempty"`
	// Streams holds the sender's own read positions.
	Streams []wireStream `cbor:"8,keyasint,omitempty"`
	// RemotePositions holds, for each stream, the most recently confirmed position that
	// the sender received directly from a VM of another zone.
	RemotePositions []wireRemotePosition `cbor:"9,keyasint,omitempty"`
	// Refused holds the digests of the VMs of the sender's zone whose reads the platform
	// refuses.
	Refused []uint32 `cbor:"12,keyasint,omitempty"`
	// Reply is set when the message answers a VM that has just started.
	Reply bool `cbor:"13,keyasint,omitempty"`
	// PeerAges holds the time since the last heartbeat of each VM, as a sequence of
	// digests each followed by an age. Peers holds some of these VMs in full.
	PeerAges []byte     `cbor:"10,keyasint,omitempty"`
	Peers    []wirePeer `cbor:"11,keyasint,omitempty"`
	// Shared is a part of the shared state, in that state's own encoding.
	Shared []byte `cbor:"14,keyasint,omitempty"`
	// StreamEras and RemoteEras hold the eras of the positions in Streams and in
	// RemotePositions, in the same order. They are fields of their own because VMs of
	// earlier builds reject positions with further elements.
	StreamEras []int64 `cbor:"15,keyasint,omitempty"`
	RemoteEras []int64 `cbor:"16,keyasint,omitempty"`
}

// eraAt returns the era of the position at an index, or 0 if the sender does not know of
// eras.
func eraAt(eras []int64, i int) int64 {
	if i < len(eras) {
		return eras[i]
	}
	return 0
}

// wireStream is the encoding of a StreamPosition.
type wireStream struct {
	_      struct{} `cbor:",toarray"`
	Name   string
	Offset int64
	// AgeMillis is how many milliseconds ago the platform confirmed the offset to the
	// sender itself, or unconfirmed if it never did.
	AgeMillis int64
	Failing   bool
}

// unconfirmed is the age of an offset that the platform has not confirmed.
const unconfirmed = -1

// wireRemotePosition is how far the VM at an address has read a stream.
type wireRemotePosition struct {
	_         struct{} `cbor:",toarray"`
	Address   string
	Name      string
	Offset    int64
	AgeMillis int64
}

// wirePeer is the encoding of a peer in full.
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

const (
	// ageUnit is the unit of the ages in PeerAges, and maxAge the largest one, which must
	// fit a byte.
	ageUnit = 100 * time.Millisecond
	maxAge  = 255
	// digestSize and peerAgeSize are the sizes in bytes of a digest and of a digest with
	// its age.
	digestSize  = 4
	peerAgeSize = digestSize + 1
)

// digest returns a 32-bit hash of a VM's name.
func digest(vm string) uint32 { return uint32(xxhash.Sum64String(vm)) }
