package carrier

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const noLimit = math.MaxInt

// A limiter bounds what is read of an answer's head: a broken upstream that
// sends a head without end would exhaust a small VM's memory.
type limiter struct {
	r    io.Reader
	left int
}

func (l *limiter) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, Error.New("the answer's head is over %d bytes", mostHeader)
	}
	if len(p) > l.left {
		p = p[:l.left]
	}
	n, err := l.r.Read(p)
	if l.left != noLimit {
		l.left -= n
	}
	return n, err
}

// take gives an idle connection, or a new one.
func (c *Carrier) take(ctx context.Context, address string, fresh bool) (n *conn, reused bool, err error) {
	if !fresh {
		for n := c.pop(address); n != nil; n = c.pop(address) {
			if n.until.After(c.now()) && quiet(n.Conn) {
				return n, true, nil
			}
			n.Close()
		}
	}
	n, err = c.dial(ctx, address)
	return n, false, err
}

func (c *Carrier) dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout:         dialTime,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes},
		Control:         acknowledge,
	}
	c.dials.Add(1)
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l := &limiter{r: raw, left: noLimit}
	return &conn{Conn: raw, limit: l, reader: bufio.NewReaderSize(l, readBuffer)}, nil
}

// acknowledge bounds how long sent bytes go without an acknowledgement. Without
// it a connection to an upstream that lost its power hangs for minutes.
func acknowledge(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, unacknowledged)
	})
	if err != nil {
		return err
	}
	return failed
}

func (c *Carrier) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	n := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return n
}

func (c *Carrier) put(address string, n *conn, keep time.Duration, most int) {
	if most == 0 {
		most = MaxIdlePerAddress
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if keep <= 0 || len(c.idle[address]) >= min(MaxIdlePerAddress, most) {
		n.Close()
		return
	}
	n.until = c.now().Add(keep)
	c.idle[address] = append(c.idle[address], n)
}

// CloseIdle closes the idle connections to an address. They may have fallen silent
// together with one that did; a new one shows whether the upstream is reached.
func (c *Carrier) CloseIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.idle[address] {
		n.Close()
	}
	delete(c.idle, address)
}

// CloseExpired closes idle connections whose time is over.
func (c *Carrier) CloseExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for address, list := range c.idle {
		kept := list[:0]
		for _, n := range list {
			if n.until.After(now) {
				kept = append(kept, n)
				continue
			}
			n.Close()
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

// quiet says that an idle connection is open and nothing has come on it. A
// request that is sent on one that the other side has closed may count as run,
// and stray bytes would be taken for its answer.
func quiet(n net.Conn) bool {
	s, ok := n.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peeked := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = peeked == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// keepAlive reads how long the upstream keeps an idle connection.
func keepAlive(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		return time.Duration(seconds) * time.Second, err == nil
	}
	return 0, false
}
