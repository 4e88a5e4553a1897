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

// nonceSize makes each opening's proof its own.
const nonceSize = 16

// maxHello bounds the messages of an opening, which come from a stranger.
const maxHello = 4 << 10

// A challenge opens a link, from the side that was called.
type challenge struct {
	Version int    `cbor:"version"`
	Nonce   []byte `cbor:"nonce"`
}

// A hello says who calls, and proves it.
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

// proof is an HMAC over all that a hello says, both nonces and the side that
// speaks: a proof can neither be replayed nor sent back to its maker.
func (l *Linker) proof(side string, h hello, theirs []byte) []byte {
	m := hmac.New(sha256.New, l.c.Secret)
	field := func(b []byte) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(b)))
		m.Write(size[:])
		m.Write(b)
	}
	for _, b := range [][]byte{[]byte(side), []byte(h.VM), []byte(h.Zone), []byte(h.Address), h.Nonce, theirs} {
		field(b)
	}
	field(binary.BigEndian.AppendUint64(nil, h.Boot))
	field(binary.BigEndian.AppendUint64(nil, uint64(h.Version)))
	return m.Sum(nil)
}

func (l *Linker) hello(side string, theirs []byte) hello {
	h := hello{
		Version: l.c.Version, VM: l.c.VM, Zone: l.c.Zone, Address: l.c.Address, Boot: l.c.Boot, Nonce: nonce(),
	}
	h.Proof = l.proof(side, h, theirs)
	return h
}

func nonce() []byte {
	b := make([]byte, nonceSize)
	_, _ = rand.Read(b) // never fails
	return b
}

// Sides of an opening.
const (
	caller = "caller"
	called = "called"
)

// check says whether a hello proves what it says.
func (l *Linker) check(side string, h hello, theirs []byte) error {
	switch {
	case h.Version != l.c.Version:
		return ErrHello.New("protocol version %d, here %d", h.Version, l.c.Version)
	case len(h.Nonce) != nonceSize || !hmac.Equal(h.Proof, l.proof(side, h, theirs)):
		return ErrHello.New("wrong proof")
	case h.VM == "" || h.VM == l.c.VM:
		return ErrHello.New("VM %q calls itself as this one", h.VM)
	}
	return nil
}

// greet opens a link from the calling side to a VM.
func (l *Linker) greet(ctx context.Context, conn *websocket.Conn, vm string) (Peer, error) {
	conn.SetReadLimit(maxHello)
	c, err := receive[challenge](ctx, conn)
	if err != nil {
		return Peer{}, err
	}
	if c.Version != l.c.Version {
		return Peer{}, ErrHello.New("protocol version %d, here %d", c.Version, l.c.Version)
	}
	own := l.hello(caller, c.Nonce)
	if err := transmit(ctx, conn, own); err != nil {
		return Peer{}, err
	}
	h, err := receive[hello](ctx, conn)
	if err != nil {
		return Peer{}, err
	}
	if h.VM != vm {
		// Another VM has taken over the address.
		return Peer{}, ErrHello.New("VM %q answers at the address of %q", h.VM, vm)
	}
	return h.peer(), l.check(called, h, own.Nonce)
}

// welcome opens a link from the called side.
func (l *Linker) welcome(ctx context.Context, conn *websocket.Conn) (Peer, error) {
	conn.SetReadLimit(maxHello)
	c := challenge{Version: l.c.Version, Nonce: nonce()}
	if err := transmit(ctx, conn, c); err != nil {
		return Peer{}, err
	}
	h, err := receive[hello](ctx, conn)
	if err != nil {
		return Peer{}, err
	}
	if err := l.check(caller, h, c.Nonce); err != nil {
		return Peer{}, err
	}
	return h.peer(), transmit(ctx, conn, l.hello(called, h.Nonce))
}

func transmit[T any](ctx context.Context, conn *websocket.Conn, m T) error {
	data, err := recorder.Encode(m)
	if err != nil {
		return err
	}
	return ErrHello.Wrap(conn.Write(ctx, websocket.MessageBinary, data))
}

func receive[T any](ctx context.Context, conn *websocket.Conn) (T, error) {
	_, data, err := conn.Read(ctx)
	if err != nil {
		var none T
		return none, ErrHello.Wrap(err)
	}
	return recorder.Decode[T](data)
}
