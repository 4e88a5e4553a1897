// Package carrier sends requests to upstreams over HTTP/1.1, byte for byte, and
// reads their answers. Unlike net/http's transport it never sends a request
// again by itself, so that a request that may run only once is written to one
// connection and no other; and it tells whether a byte may have left. It
// follows no redirect, changes no path, and decides nothing about repeating.
package carrier

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

const (
	// dialTime bounds connecting. Upstreams are a few milliseconds away, and a
	// first packet that is lost is sent again only after a second.
	dialTime = 600 * time.Millisecond
	// probeAfter, probeEvery and probes end a connection whose other side has
	// vanished without a word: 3 s after its last byte.
	probeAfter = time.Second
	probeEvery = time.Second
	probes     = 2
	// unacknowledged is how long sent bytes may stay without an
	// acknowledgement, in milliseconds.
	unacknowledged = 3000
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 18
	// idleTime is how long a connection is kept where the upstream does not
	// say how long it keeps it, and idleMargin what is taken off where it does.
	idleTime   = 4 * time.Second
	idleMargin = 300 * time.Millisecond
	// writtenTime is how long a whole answer waits for the word that its request
	// is written. On a busy VM the answer may be read before whoever wrote the
	// request has run again; without the wait its connection would be closed for
	// nothing, and an upstream that answered early is rare.
	writtenTime = 5 * time.Millisecond
	// MaxIdlePerAddress is how many idle connections are kept to one address. A VM has
	// a few requests at a time at one upstream, whose connections it shares
	// with all other VMs.
	MaxIdlePerAddress = 4
	// mostHeader bounds an answer's header in bytes.
	mostHeader = 64 << 10
	// readBuffer is the size of a connection's buffer in bytes: an event of a
	// stream is some hundred bytes.
	readBuffer = 2 << 10
)

// Error is the class of this package's errors.
var Error = errs.Class("carrier")

// A SendError is a sending that brought no answer.
type SendError struct { //nolint:errname // the word that callers meet
	// Sent says that a byte of the request may have left.
	Sent bool
	// Reused says that the connection had served an earlier request.
	Reused bool
	Err    error
}

// Error gives the cause.
func (f *SendError) Error() string { return f.Err.Error() }

// Unwrap gives the cause.
func (f *SendError) Unwrap() error { return f.Err }

// A Request is what is sent.
type Request struct {
	Method string
	// Target is the path and query as they go onto the wire.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection asks for a connection that has served no other request.
	NewConnection bool
	// MaxIdle is how many idle connections to the address are kept at most once it is
	// answered: 0 for the usual number, less for none.
	MaxIdle int
}

// A Carrier keeps connections to upstreams.
type Carrier struct {
	now func() time.Time

	mu    sync.Mutex
	idle  map[string][]*conn
	dials atomic.Int64
}

// New returns a Carrier without connections.
func New(now func() time.Time) *Carrier {
	return &Carrier{now: now, idle: make(map[string][]*conn)}
}

// Dials is how many connections were made.
func (c *Carrier) Dials() int64 { return c.dials.Load() }

type conn struct {
	net.Conn
	limit  *limiter
	reader *bufio.Reader
	until  time.Time
}

// An Exchange is an answer on its way.
type Exchange struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Reused says that the connection had served an earlier request, so that
	// the answer may be that one's.
	Reused bool

	carrier *Carrier
	address string
	idle    int
	conn    *conn
	reply   *http.Response
	written chan error
	stop    func() bool
	cancel  context.CancelFunc
	whole   bool
}

// Send sends a request and reads the head of its answer. The exchange ends with
// the context, and must be closed.
func (c *Carrier) Send(ctx context.Context, address string, q Request) (*Exchange, *SendError) {
	n, reused, err := c.take(ctx, address, q.NewConnection)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	if err := ctx.Err(); err != nil {
		n.Close()
		return nil, &SendError{Err: err}
	}
	inner, cancel := context.WithCancel(ctx)
	x := &Exchange{Reused: reused, carrier: c, address: address, idle: q.MaxIdle, conn: n, written: make(chan error, 1), cancel: cancel}
	// Closing the connection tells the upstream at once that nobody waits.
	x.stop = context.AfterFunc(inner, func() { n.Close() })
	// The answer may come before the body is read, and the upstream may stop
	// reading then: who wrote first and read afterwards would wait forever.
	go func() { x.written <- write(n, q) }()
	if err := x.head(q.Method); err != nil {
		x.Close()
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
		return nil, &SendError{Sent: true, Reused: reused, Err: err}
	}
	return x, nil
}

func write(w io.Writer, q Request) error {
	var b bytes.Buffer
	b.Grow(1024 + len(q.Body))
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	if err := q.Header.Write(&b); err != nil {
		return err
	}
	if len(q.Body) > 0 || (q.Method != http.MethodGet && q.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	_, err := w.Write(b.Bytes())
	return err
}

// head reads the answer's head, passing over interim answers.
func (x *Exchange) head(method string) error {
	x.conn.limit.left = mostHeader
	defer func() { x.conn.limit.left = noLimit }()
	for {
		reply, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method}) //nolint:bodyclose // Exchange.Close ends it
		if err != nil {
			return err
		}
		if reply.StatusCode >= 100 && reply.StatusCode < 200 {
			continue
		}
		x.reply = reply
		x.Status, x.Header = reply.StatusCode, reply.Header
		x.Body = &body{exchange: x}
		return nil
	}
}

// A body notes that the answer was read to its end.
type body struct {
	exchange *Exchange
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.exchange.reply.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.exchange.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept only if both sides are at the
// end of it and nothing more has come: bytes after an answer belong to no
// request, and the next one would take them for its own.
func (x *Exchange) Close() {
	stopped := x.stop()
	x.cancel()
	if !stopped || !x.reusable() {
		x.conn.Close()
		return
	}
	keep := idleTime
	if said, ok := keepAlive(x.Header); ok {
		keep = said - idleMargin
	}
	x.carrier.put(x.address, x.conn, keep, x.idle)
}

func (x *Exchange) reusable() bool {
	if !x.whole || x.reply.Close || x.conn.reader.Buffered() > 0 {
		return false
	}
	late := time.NewTimer(writtenTime)
	defer late.Stop()
	select {
	case err := <-x.written:
		return err == nil
	case <-late.C:
		return false
	}
}
