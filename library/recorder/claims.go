package recorder

// ClaimStream is the stream of claims, and KindClaim the kind of its records.
const (
	ClaimStream = "claims"
	KindClaim   = "claim"
)

// A Claim says that one VM's process holds upstreams and seats from this
// record on. It counts, for each of them alone, only if the offset that it
// replaces is that of the claim in force; the log's order decides between
// racing claimants, and the claim's own offset is the fence.
type Claim struct {
	// VM and Boot name the process that holds what is claimed.
	VM   string `cbor:"vm"`
	Boot uint64 `cbor:"boot"`
	// By is the VM that wrote the record: the holder before, where it hands
	// over, else VM itself.
	By string `cbor:"by"`
	// Zone and Address are By's, so that VMs find one another where the
	// platform's list lags.
	Zone    string `cbor:"zone,omitempty"`
	Address string `cbor:"address,omitempty"`
	// Handed says that the holder before has stopped lending and that the claim
	// takes effect at once.
	Handed bool `cbor:"handed,omitempty"`
	// Given says that the seats are given back: nobody holds them from here on.
	Given bool `cbor:"given,omitempty"`
	// Upstreams and Seats are what is claimed.
	Upstreams []ClaimUpstream `cbor:"upstreams,omitempty"`
	Seats     []ClaimSeat     `cbor:"seats,omitempty"`
}

// A ClaimUpstream is one upstream of a claim.
type ClaimUpstream struct {
	Name string `cbor:"name"`
	// Replaces is the offset of the claim in force that the claimant saw; 0
	// where it saw none.
	Replaces uint64 `cbor:"replaces,omitempty"`
}

// A ClaimSeat is one seat of a claim. Seats are numbered from 0 up.
type ClaimSeat struct {
	Seat     int    `cbor:"seat"`
	Replaces uint64 `cbor:"replaces,omitempty"`
}
