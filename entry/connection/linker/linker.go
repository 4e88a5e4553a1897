// Package linker keeps links to other entry VMs: one WebSocket for each pair
// that has something to say, with CBOR messages, authenticated by a secret that
// the VMs share. It carries what others register and decides nothing.
//
// A message may be lost with its link, and a link may be cut in one direction;
// whoever sends must bear both. A link to a slow or frozen VM must not hold up
// the others: queues are bounded, and where one is full, old heartbeats go
// first, because the next one says the same anew.
package linker

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/library/recorder"
)

// Version is the version of the protocol between VMs.
const Version = 1

// Path is where the Linker's handler is to be served.
const Path = "/peer"

const (
	// MaxMessageSize bounds a message in bytes. The largest is a configuration.
	MaxMessageSize = 2 << 20
	// maxQueue bounds the messages waiting for one link.
	maxQueue = 256
	// helloTime bounds the opening of a link.
	helloTime = 3 * time.Second
	// writeTime bounds the sending of one message: a link that takes longer is
	// closed.
	writeTime = 3 * time.Second
	// pause is between two attempts to reach a VM.
	pause = 200 * time.Millisecond
	// idle closes a link that nothing came over.
	idle = 10 * time.Second
)

// Error classes.
var (
	// ErrNoLink is the class of sends to a VM that no link stands to.
	ErrNoLink = errs.Class("no link")
	// ErrHello is the class of links refused at their opening.
	ErrHello = errs.Class("link refused")
)

// A Peer is the process at the other end of a link.
type Peer struct {
	VM, Zone, Address string
	Boot              uint64
}

// A Config says who this process is.
type Config struct {
	VM, Zone, Address string
	Boot              uint64
	// Secret proves to other VMs that this is one of them.
	Secret []byte
	// TLS is for links that this VM opens; nil means none.
	TLS *tls.Config
	// Version is the protocol's; 0 means Version. Tests set another.
	Version int
}

// A Linker is this VM's end of all links. It is safe for concurrent use.
type Linker struct {
	c       Config
	log     zerolog.Logger
	client  *http.Client
	dropped metrics.Counter
	refused metrics.Counter
	broken  metrics.Counter
	links   metrics.Gauge

	mu       sync.Mutex
	handlers map[string]handler
	peers    map[string]*link
	dials    map[string]bool
	closed   bool
	wait     sync.WaitGroup
	ctx      context.Context //nolint:containedctx // ends all links with Close
	cancel   context.CancelFunc
	state    func() []byte
	fetches  map[uint64]chan []byte
	nextID   uint64
}

type handler func(from Peer, data []byte) error

// New returns a Linker without links.
func New(c Config, log zerolog.Logger, registry metrics.Registry) *Linker {
	if c.Version == 0 {
		c.Version = Version
	}
	transport := &http.Transport{TLSClientConfig: c.TLS, TLSHandshakeTimeout: helloTime}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Linker{
		c: c, log: log, client: &http.Client{Transport: transport},
		dropped:  metrics.GetOrRegisterCounter("links.dropped", registry),
		refused:  metrics.GetOrRegisterCounter("links.refused", registry),
		broken:   metrics.GetOrRegisterCounter("links.broken", registry),
		links:    metrics.GetOrRegisterGauge("links.open", registry),
		handlers: map[string]handler{}, peers: map[string]*link{}, dials: map[string]bool{},
		fetches: map[uint64]chan []byte{}, ctx: ctx, cancel: cancel,
	}
	l.registerFetch()
	return l
}

// Handle has f called with each message of a kind. Calls for one link come one
// after another; f must not block. A message that can't be decoded as T closes
// its link.
func Handle[T any](l *Linker, kind string, f func(from Peer, m T)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers[kind] = func(from Peer, data []byte) error {
		m, err := recorder.Unwrap[T](data)
		if err != nil {
			return err
		}
		f(from, m)
		return nil
	}
}

// Send queues a message for a VM. Without an error it may still be lost.
func Send[T any](l *Linker, to, kind string, m T) error { return send(l, to, kind, m, false) }

// SendHeartbeat is Send for a message that the next of its kind replaces: it is the
// first to go where the queue is full.
func SendHeartbeat[T any](l *Linker, to, kind string, m T) error { return send(l, to, kind, m, true) }

func send[T any](l *Linker, to, kind string, m T, beat bool) error {
	data, err := recorder.Wrap(kind, m)
	if err != nil {
		return err
	}
	if len(data) > MaxMessageSize {
		return ErrNoLink.New("message of %d bytes, at most %d", len(data), MaxMessageSize)
	}
	l.mu.Lock()
	k := l.peers[to]
	l.mu.Unlock()
	if k == nil {
		return ErrNoLink.New("%s", to)
	}
	if n := k.queue.put(data, beat); n > 0 {
		l.dropped.Inc(int64(n))
	}
	return nil
}

// Connect has the Linker hold a link to a VM at an address, where none stands. It
// does not wait for it.
func (l *Linker) Connect(vm, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || vm == l.c.VM || l.peers[vm] != nil || l.dials[vm] {
		return
	}
	l.dials[vm] = true
	l.wait.Go(func() { l.dial(vm, address) })
}

// Connected lists the VMs that a link stands to.
func (l *Linker) Connected() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]string, 0, len(l.peers))
	for vm := range l.peers {
		out = append(out, vm)
	}
	return out
}

// Cut closes the link to a VM.
func (l *Linker) Cut(vm string) {
	l.mu.Lock()
	k := l.peers[vm]
	l.mu.Unlock()
	if k != nil {
		k.stop()
	}
}

// Close ends all links and waits for them.
func (l *Linker) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.wait.Wait()
	l.client.CloseIdleConnections()
}
