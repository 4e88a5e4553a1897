package carrier

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// acquire returns an idle connection or, if there is none, a new one.
func (c *Carrier) acquire(ctx context.Context, address string, fresh bool) (n *conn, reused bool, err error) {
	if !fresh {
		for n := c.pop(address); n != nil; n = c.pop(address) {
			if n.expiresAt.After(c.now()) && isClean(n.Conn) {
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
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setOptions,
	}
	c.dials.Add(1)
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	h := &headReader{r: raw, remaining: noLimit}
	return &conn{Conn: raw, head: h, reader: bufio.NewReaderSize(h, readBufferSize)}, nil
}

// CallerListenConfig returns the configuration of a listener whose connections keep little
// for peers that read slowly. They take the listener's options over, unless it offers
// Multipath TCP.
func CallerListenConfig() *net.ListenConfig {
	c := &net.ListenConfig{Control: limitUnsent}
	c.SetMultipathTCP(false)
	return c
}

// limitUnsent sets TCP_NOTSENT_LOWAT on a socket, so that a peer that reads slowly keeps
// little in the kernel, whose send buffers grow to some megabytes, and a write ends when
// the peer has taken nearly all of it. Data in flight is not limited.
func limitUnsent(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpNotSentLowat, MaxUnsent)
	})
	if err != nil {
		return err
	}
	return optErr
}

// setOptions sets the options of a connection to an upstream.
func setOptions(network, address string, raw syscall.RawConn) error {
	if err := limitUnsent(network, address, raw); err != nil {
		return err
	}
	return setUserTimeout(network, address, raw)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket. Without it, a connection to an
// upstream that has lost power hangs for minutes.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, userTimeoutMillis)
	})
	if err != nil {
		return err
	}
	return optErr
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

func (c *Carrier) put(address string, n *conn, keep time.Duration, maxIdle int) {
	if maxIdle == 0 {
		maxIdle = MaxIdlePerAddress
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if keep <= 0 || len(c.idle[address]) >= min(MaxIdlePerAddress, maxIdle) {
		n.Close()
		return
	}
	n.expiresAt = c.now().Add(keep)
	c.idle[address] = append(c.idle[address], n)
}

// CloseIdle closes the idle connections to an address. It is called when a connection
// to the address has stalled: the idle ones may be broken too, and opening a new one
// shows whether the upstream is reachable.
func (c *Carrier) CloseIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.idle[address] {
		n.Close()
	}
	delete(c.idle, address)
}

// CloseExpired closes the connections that have been idle for too long.
func (c *Carrier) CloseExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for address, list := range c.idle {
		kept := list[:0]
		for _, n := range list {
			if n.expiresAt.After(now) {
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

// isClean reports whether an idle connection is open and has received no data. A request
// sent on a connection that the upstream has closed would have to be treated as
// possibly run, and stray bytes would be taken for its response.
func isClean(n net.Conn) bool {
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
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// parseKeepAlive returns the timeout that the Keep-Alive header announces for idle
// connections.
func parseKeepAlive(h http.Header) (time.Duration, bool) {
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
