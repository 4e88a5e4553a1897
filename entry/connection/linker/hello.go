package linker

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	"github.com/coder/websocket"

	"github.com/heathervane/heathervane/library/recorder"
)

// nonceSize is the size of the nonces, in bytes, which make the proofs of each handshake
// unique.
const nonceSize = 16

// maxHelloSize limits the size of handshake messages, which come from peers that are not
// authenticated yet.
const maxHelloSize = 4 << 10

// A challenge is the first message of a handshake. The listening side sends it.
type challenge struct {
	Version int    `cbor:"version"`
	Nonce   []byte `cbor:"nonce"`
}

// A hello identifies its sender and proves that the sender knows the shared secret.
type hello struct {
	Version int    `cbor:"version"`
	VM      string `cbor:"vm"`
	Zone    string `cbor:"zone"`
	Address string `cbor:"address"`
	Boot    uint64 `cbor:"boot"`
	Nonce   []byte `cbor:"nonce"`
	Proof   []byte `cbor:"proof"`
}

func (h hello) peer() Peer { return Peer{VM: h.VM, Zone: h.Zone, Address: h.Address, Boot: h.Boot} }

// proof returns an HMAC over the content of a hello, both nonces and the sender's side, so
// that a proof can be neither replayed nor reflected to its sender.
func (l *Linker) proof(side string, h hello, peerNonce []byte) []byte {
	m := hmac.New(sha256.New, l.config.Secret)
	field := func(b []byte) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(b)))
		m.Write(size[:])
		m.Write(b)
	}
	for _, b := range [][]byte{[]byte(side), []byte(h.VM), []byte(h.Zone), []byte(h.Address), h.Nonce, peerNonce} {
		field(b)
	}
	field(binary.BigEndian.AppendUint64(nil, h.Boot))
	field(binary.BigEndian.AppendUint64(nil, uint64(h.Version)))
	return m.Sum(nil)
}

func (l *Linker) newHello(side string, peerNonce []byte) hello {
	h := hello{
		Version: l.config.Version, VM: l.config.VM, Zone: l.config.Zone, Address: l.config.Address, Boot: l.config.Boot, Nonce: newNonce(),
	}
	h.Proof = l.proof(side, h, peerNonce)
	return h
}

func newNonce() []byte {
	b := make([]byte, nonceSize)
	_, _ = rand.Read(b) // it never fails
	return b
}

// Sides of a handshake.
const (
	sideDialer   = "caller"
	sideListener = "called"
)

// verify checks a hello's protocol version, proof and VM name.
func (l *Linker) verify(side string, h hello, peerNonce []byte) error {
	switch {
	case h.Version != l.config.Version:
		return ErrRefused.New("protocol version %d, here %d", h.Version, l.config.Version)
	case len(h.Nonce) != nonceSize || !hmac.Equal(h.Proof, l.proof(side, h, peerNonce)):
		return ErrRefused.New("wrong proof")
	case h.VM == "" || h.VM == l.config.VM:
		return ErrRefused.New("VM %q calls itself as this one", h.VM)
	}
	return nil
}

// dialHandshake performs the handshake on the dialling side of a link to a VM.
func (l *Linker) dialHandshake(ctx context.Context, conn *websocket.Conn, vm string) (Peer, error) {
	conn.SetReadLimit(maxHelloSize)
	c, err := readMessage[challenge](ctx, conn)
	if err != nil {
		return Peer{}, err
	}
	if c.Version != l.config.Version {
		return Peer{}, ErrRefused.New("protocol version %d, here %d", c.Version, l.config.Version)
	}
	own := l.newHello(sideDialer, c.Nonce)
	if err := writeMessage(ctx, conn, own); err != nil {
		return Peer{}, err
	}
	h, err := readMessage[hello](ctx, conn)
	if err != nil {
		return Peer{}, err
	}
	if h.VM != vm {
		// Another VM has taken over the address.
		return Peer{}, ErrRefused.New("VM %q answers at the address of %q", h.VM, vm)
	}
	return h.peer(), l.verify(sideListener, h, own.Nonce)
}

// acceptHandshake performs the handshake on the listening side.
func (l *Linker) acceptHandshake(ctx context.Context, conn *websocket.Conn) (Peer, error) {
	conn.SetReadLimit(maxHelloSize)
	c := challenge{Version: l.config.Version, Nonce: newNonce()}
	if err := writeMessage(ctx, conn, c); err != nil {
		return Peer{}, err
	}
	h, err := readMessage[hello](ctx, conn)
	if err != nil {
		return Peer{}, err
	}
	if err := l.verify(sideDialer, h, c.Nonce); err != nil {
		return Peer{}, err
	}
	return h.peer(), writeMessage(ctx, conn, l.newHello(sideListener, h.Nonce))
}

func writeMessage[T any](ctx context.Context, conn *websocket.Conn, m T) error {
	data, err := recorder.Encode(m)
	if err != nil {
		return err
	}
	return ErrRefused.Wrap(conn.Write(ctx, websocket.MessageBinary, data))
}

func readMessage[T any](ctx context.Context, conn *websocket.Conn) (T, error) {
	_, data, err := conn.Read(ctx)
	if err != nil {
		var zero T
		return zero, ErrRefused.Wrap(err)
	}
	return recorder.Decode[T](data)
}
