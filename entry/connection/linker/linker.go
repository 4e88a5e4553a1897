// Package linker maintains links between entry VMs. A link is a WebSocket that carries
// CBOR messages; there is one per pair of VMs that communicate. The VMs authenticate
// each other with a shared secret. Other packages register the handlers of messages;
// this package makes no decisions of its own.
//
// A message may be lost if its link breaks, and a link may fail in one direction only;
// senders must tolerate both. A link to a slow or frozen VM must not delay the other
// links: each has a bounded queue, which drops old heartbeats first when it is full,
// because the next heartbeat supersedes them.
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

// Path is the HTTP path at which a Linker must be served.
const Path = "/peer"

const (
	// MaxMessageSize is the maximum size of a message in bytes. The largest messages
	// hold a configuration.
	MaxMessageSize = 2 << 20
	// maxQueueLength is the maximum number of messages queued for a link.
	maxQueueLength = 256
	// handshakeTimeout limits the time to establish a link.
	handshakeTimeout = 3 * time.Second
	// writeTimeout limits the time to send a message. A link that exceeds it is closed.
	writeTimeout = 3 * time.Second
	// redialDelay is the delay between two attempts to connect to a VM.
	redialDelay = 200 * time.Millisecond
	// idleTimeout is the time after which a link that has received nothing is closed.
	idleTimeout = 10 * time.Second
)

// Error classes.
var (
	// ErrNoLink is the class of errors of sends to a VM to which no link is open.
	ErrNoLink = errs.Class("no link")
	// ErrRefused is the class of errors for which a link is refused: a failed handshake,
	// or a message that is not binary.
	ErrRefused = errs.Class("link refused")
)

// A Peer is the process at the other end of a link.
type Peer struct {
	VM, Zone, Address string
	Boot              uint64
}

// A Config holds the identity of this process and the settings of its links.
type Config struct {
	VM, Zone, Address string
	Boot              uint64
	// Secret is shared by all VMs and authenticates them to one another.
	Secret []byte
	// TLS configures links that this VM opens; nil disables TLS.
	TLS *tls.Config
	// Version is the protocol version; 0 means the constant Version. Tests set
	// another one.
	Version int
}

// A Linker manages all links of this VM. It is safe for concurrent use.
type Linker struct {
	config    Config
	log       zerolog.Logger
	client    *http.Client
	dropped   metrics.Counter
	refused   metrics.Counter
	broken    metrics.Counter
	openLinks metrics.Gauge

	mu             sync.Mutex
	handlers       map[string]handler
	links          map[string]*link
	dialling       map[string]bool
	closed         bool
	running        sync.WaitGroup
	ctx            context.Context //nolint:containedctx // Close cancels it to end all links
	cancel         context.CancelFunc
	stateFunc      func() []byte
	pendingFetches map[uint64]chan []byte
	lastFetchID    uint64
}

type handler func(from Peer, data []byte) error

// New returns a Linker that has no links yet.
func New(c Config, log zerolog.Logger, registry metrics.Registry) *Linker {
	if c.Version == 0 {
		c.Version = Version
	}
	transport := &http.Transport{TLSClientConfig: c.TLS, TLSHandshakeTimeout: handshakeTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Linker{
		config: c, log: log, client: &http.Client{Transport: transport},
		dropped:   metrics.GetOrRegisterCounter("links.dropped", registry),
		refused:   metrics.GetOrRegisterCounter("links.refused", registry),
		broken:    metrics.GetOrRegisterCounter("links.broken", registry),
		openLinks: metrics.GetOrRegisterGauge("links.open", registry),
		handlers:  map[string]handler{}, links: map[string]*link{}, dialling: map[string]bool{},
		pendingFetches: map[uint64]chan []byte{}, ctx: ctx, cancel: cancel,
	}
	l.registerFetchHandlers()
	return l
}

// Handle registers f as the handler of messages of a kind. Calls for the same link are
// sequential, and f must not block. A message that cannot be decoded as T closes its
// link.
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

// Send queues a message for a VM. The message may be lost even if Send returns no error.
func Send[T any](l *Linker, to, kind string, m T) error { return send(l, to, kind, m, false) }

// SendHeartbeat is like Send, for messages that the next one of the same kind supersedes.
// They are dropped first when the queue is full.
func SendHeartbeat[T any](l *Linker, to, kind string, m T) error { return send(l, to, kind, m, true) }

func send[T any](l *Linker, to, kind string, m T, heartbeat bool) error {
	data, err := recorder.Wrap(kind, m)
	if err != nil {
		return err
	}
	if len(data) > MaxMessageSize {
		return ErrNoLink.New("message of %d bytes exceeds the limit of %d", len(data), MaxMessageSize)
	}
	l.mu.Lock()
	k := l.links[to]
	l.mu.Unlock()
	if k == nil {
		return ErrNoLink.New("%s", to)
	}
	if n := k.queue.push(data, heartbeat); n > 0 {
		l.dropped.Inc(int64(n))
	}
	return nil
}

// Connect starts to open a link to a VM at an address, unless one is open already or
// being opened. It does not wait for the link.
func (l *Linker) Connect(vm, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || vm == l.config.VM || l.links[vm] != nil || l.dialling[vm] {
		return
	}
	l.dialling[vm] = true
	l.running.Go(func() { l.dial(vm, address) })
}

// Connected returns the names of the VMs to which a link is open.
func (l *Linker) Connected() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := make([]string, 0, len(l.links))
	for vm := range l.links {
		vms = append(vms, vm)
	}
	return vms
}

// Disconnect closes the link to a VM.
func (l *Linker) Disconnect(vm string) {
	l.mu.Lock()
	k := l.links[vm]
	l.mu.Unlock()
	if k != nil {
		k.stop()
	}
}

// Close closes all links and waits until they have ended.
func (l *Linker) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.running.Wait()
	l.client.CloseIdleConnections()
}
