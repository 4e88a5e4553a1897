// Package carrier is an HTTP/1.1 client that sends requests to upstreams byte for
// byte. Unlike net/http's transport, it never retries a request by itself, so a
// request that must run at most once is written to a single connection. If a request
// fails, the error states whether a byte of it may have been sent. The package does
// not follow redirects, change paths, or decide about retries.
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
	// dialTimeout limits the time to connect. Upstreams are a few milliseconds
	// away, and a lost SYN is retransmitted only after a second.
	dialTimeout = 600 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive,
	// so that a connection whose peer has vanished without closing it ends 3 s after
	// the last byte received.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeoutMillis is how long sent data may remain unacknowledged, in
	// milliseconds.
	userTimeoutMillis = 3000
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 18
	// MaxUnsent is how many bytes written to a connection may wait to be sent, and
	// tcpNotSentLowat the Linux socket option TCP_NOTSENT_LOWAT that limits them.
	MaxUnsent       = 32 << 10
	tcpNotSentLowat = 25
	// defaultIdleTimeout is how long an idle connection is kept if the upstream does
	// not announce its own timeout. If it does, the connection is kept for that
	// timeout less idleMargin.
	defaultIdleTimeout = 4 * time.Second
	idleMargin         = 300 * time.Millisecond
	// writeDoneTimeout is how long Close waits, after a complete response, for the
	// goroutine that writes the request to finish. On a busy VM the response may have
	// been read before that goroutine is scheduled again; without the wait, a reusable
	// connection would be closed. An upstream that responds before it has read the
	// request is rare.
	writeDoneTimeout = 5 * time.Millisecond
	// MaxIdlePerAddress is the maximum number of idle connections to an address. A VM
	// has only a few concurrent requests at one upstream, and the upstream's
	// connections are shared among all VMs.
	MaxIdlePerAddress = 4
	// maxHeaderSize is the maximum size of a response header in bytes.
	maxHeaderSize = 64 << 10
	// readBufferSize is the size of a connection's read buffer in bytes. An event of a
	// stream has a few hundred bytes.
	readBufferSize = 2 << 10
)

// Error is the class of the errors that this package itself creates.
var Error = errs.Class("carrier")

// A SendError reports a request for which no response header was received.
type SendError struct {
	// Sent is set if a byte of the request may have been sent.
	Sent bool
	// Reused is set if the connection had served an earlier request.
	Reused bool
	Err    error
}

// Error returns the text of the cause.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// A Request is an HTTP request to an upstream.
type Request struct {
	Method string
	// Target is the path and query, sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NewConnection requires a connection that has not served another request.
	NewConnection bool
	// MaxIdle limits the idle connections to the address when the exchange is closed:
	// 0 means MaxIdlePerAddress, and a negative value means none.
	MaxIdle int
	// MaySend is asked once a connection is open; if it returns false nothing is sent
	// and Send returns ErrWithheld. A new connection to a busy upstream may take so long
	// that the request must not be sent any more. It may be nil.
	MaySend func() bool
	// Written, if not nil, is called once the whole request is written, from another
	// goroutine. An upstream that reads slowly delays it.
	Written func()
}

// ErrWithheld reports that a request was not sent because MaySend returned false.
var ErrWithheld = errors.New("request withheld")

// A Carrier sends requests to upstreams and keeps idle connections for reuse.
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

// Dials returns the number of connection attempts so far.
func (c *Carrier) Dials() int64 { return c.dials.Load() }

type conn struct {
	net.Conn
	head      *headReader
	reader    *bufio.Reader
	expiresAt time.Time
}

// An Exchange is a request with a response whose header has been received.
type Exchange struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Reused is set if the connection had served an earlier request, to which the
	// response may therefore belong.
	Reused bool

	carrier   *Carrier
	address   string
	maxIdle   int
	conn      *conn
	response  *http.Response
	writeDone chan error
	stop      func() bool
	cancel    context.CancelFunc
	complete  bool
	closed    bool
}

// Length returns the length that the response states for its body; negative if it states none.
func (x *Exchange) Length() int64 { return x.response.ContentLength }

// IsUnframed reports whether the response has neither a length nor chunks, so that it ends with
// its connection.
func (x *Exchange) IsUnframed() bool {
	return x.response.ContentLength < 0 && len(x.response.TransferEncoding) == 0
}

// Send sends a request and reads the header of its response. The exchange ends with
// the context, and must be closed.
func (c *Carrier) Send(ctx context.Context, address string, req Request) (*Exchange, *SendError) {
	n, reused, err := c.acquire(ctx, address, req.NewConnection)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	if err := ctx.Err(); err != nil {
		n.Close()
		return nil, &SendError{Err: err}
	}
	if req.MaySend != nil && !req.MaySend() {
		n.Close()
		return nil, &SendError{Err: ErrWithheld}
	}
	inner, cancel := context.WithCancel(ctx)
	x := &Exchange{Reused: reused, carrier: c, address: address, maxIdle: req.MaxIdle, conn: n, writeDone: make(chan error, 1), cancel: cancel}
	// Closing the connection lets the upstream detect at once that the request was
	// cancelled.
	x.stop = context.AfterFunc(inner, func() { n.Close() })
	// The upstream may respond before it has read the body, and then stop reading.
	// Writing the whole request before reading the response would block forever.
	go func() {
		err := writeRequest(n, req)
		if err == nil && req.Written != nil {
			req.Written()
		}
		x.writeDone <- err
	}()
	if err := x.readHeader(req.Method); err != nil {
		x.Close()
		if cause := ctx.Err(); cause != nil {
			err = cause
		}
		return nil, &SendError{Sent: true, Reused: reused, Err: err}
	}
	return x, nil
}

func writeRequest(w io.Writer, req Request) error {
	var b bytes.Buffer
	b.Grow(1024 + len(req.Body))
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(&b); err != nil {
		return err
	}
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(req.Body)
	_, err := w.Write(b.Bytes())
	return err
}

// readHeader reads the response header and skips interim (1xx) responses.
func (x *Exchange) readHeader(method string) error {
	x.conn.head.begin()
	defer x.conn.head.end()
	for {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: method}) //nolint:bodyclose // closed by Exchange.Close
		if err != nil {
			return x.conn.head.cause(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if x.conn.head.checker.encoded && !resp.ProtoAtLeast(1, 1) {
			// net/http ignores the field in HTTP/1.0 and would return the sizes of the
			// chunks as a part of the body.
			return ErrMalformed.New("transfer encoding in %s", resp.Proto)
		}
		x.response = resp
		x.Status, x.Header = resp.StatusCode, resp.Header
		x.Body = &body{exchange: x}
		return nil
	}
}

// A body records whether the response was read to its end.
type body struct {
	exchange *Exchange
}

func (b *body) Read(p []byte) (int, error) {
	x := b.exchange
	if x.complete {
		return 0, io.EOF
	}
	n, err := x.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		if x.endsWithConnection() {
			// Linux reports a reset to only one of the reader and the writer of a socket. If
			// it was the writer, the reader gets io.EOF.
			writeErr := <-x.writeDone
			x.writeDone <- writeErr
			if writeErr != nil {
				return n, writeErr
			}
		}
		for name := range x.response.Trailer {
			if !isToken(name) {
				return n, ErrMalformed.New("trailer with the name %q", name)
			}
		}
		x.complete = true
	}
	return n, err
}

// endsWithConnection reports whether only the end of the connection ends the response body.
func (x *Exchange) endsWithConnection() bool {
	return x.IsUnframed() && x.response.Body != http.NoBody
}

// Close ends the exchange. The connection is kept only if the request is fully written,
// the response is fully read, and nothing follows it: stray bytes would be taken for
// the response to the next request. It may be called more than once.
func (x *Exchange) Close() {
	if x.closed {
		return
	}
	x.closed = true
	stopped := x.stop()
	x.cancel()
	if !stopped || !x.reusable() {
		x.conn.Close()
		return
	}
	keep := defaultIdleTimeout
	if announced, ok := parseKeepAlive(x.Header); ok {
		keep = announced - idleMargin
	}
	x.carrier.put(x.address, x.conn, keep, x.maxIdle)
}

func (x *Exchange) reusable() bool {
	if !x.complete || x.response.Close || x.conn.reader.Buffered() > 0 {
		return false
	}
	timer := time.NewTimer(writeDoneTimeout)
	defer timer.Stop()
	select {
	case err := <-x.writeDone:
		return err == nil
	case <-timer.C:
		return false
	}
}
