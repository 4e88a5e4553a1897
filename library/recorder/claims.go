package recorder

// ClaimStream is the log stream that holds claims, and KindClaim the kind of
// its records.
const (
	ClaimStream = "claims"
	KindClaim   = "claim"
)

// A Claim says that a VM's process holds upstreams and seats from the offset of
// this record on. Each upstream and seat is decided separately: the claim takes
// effect for it only if Replaces is the offset of the claim in force. The order
// of the log decides between concurrent claims. The offset of a claim is its
// fencing number.
type Claim struct {
	// VM and Boot identify the process that holds the upstreams and seats.
	VM   string `cbor:"vm"`
	Boot uint64 `cbor:"boot"`
	// By is the VM that wrote the record: the previous holder if it hands over,
	// otherwise VM itself.
	By string `cbor:"by"`
	// Zone and Address are those of By, so that VMs can find one another when
	// the platform's VM list is out of date.
	Zone    string `cbor:"zone,omitempty"`
	Address string `cbor:"address,omitempty"`
	// Handed says that the previous holder has stopped lending, so the claim
	// takes effect immediately.
	Handed bool `cbor:"handed,omitempty"`
	// Given says that the seats are released: from this record on, no VM holds
	// them.
	Given bool `cbor:"given,omitempty"`
	// Upstreams and Seats are what the record is about.
	Upstreams []ClaimUpstream `cbor:"upstreams,omitempty"`
	Seats     []ClaimSeat     `cbor:"seats,omitempty"`
}

// A ClaimUpstream is one upstream in a claim.
type ClaimUpstream struct {
	Name string `cbor:"name"`
	// Replaces is the offset of the claim in force that the claimant saw, or 0
	// if it saw none.
	Replaces uint64 `cbor:"replaces,omitempty"`
}

// A ClaimSeat is one seat in a claim. Seats are numbered from 0.
type ClaimSeat struct {
	Seat     int    `cbor:"seat"`
	Replaces uint64 `cbor:"replaces,omitempty"`
}
