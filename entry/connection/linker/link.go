package linker

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/heathervane/heathervane/library/recorder"
)

// A link is an open WebSocket connection to another VM.
type link struct {
	peer  Peer
	conn  *websocket.Conn
	queue *queue
	stop  context.CancelFunc
}

// dial opens a link to another VM. The VM with the greater name waits first, so that two
// VMs that discover each other at the same time open one link instead of two.
func (l *Linker) dial(vm, address string) {
	defer func() {
		l.mu.Lock()
		delete(l.dialling, vm)
		l.mu.Unlock()
	}()
	if l.config.VM > vm && !l.sleep(redialDelay) {
		return
	}
	if l.hasLink(vm) {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	scheme := "ws://"
	if l.config.TLS != nil {
		scheme = "wss://"
	}
	conn, res, err := websocket.Dial(ctx, scheme+address+Path, &websocket.DialOptions{HTTPClient: l.client})
	if res != nil && res.Body != nil {
		res.Body.Close()
	}
	if err != nil {
		l.sleep(redialDelay)
		return
	}
	peer, err := l.dialHandshake(ctx, conn, vm)
	if err != nil {
		l.refuse(conn, err)
		l.sleep(redialDelay)
		return
	}
	l.running.Go(func() { l.run(conn, peer) })
}

// sleep waits for d and returns true, or returns false as soon as the Linker is closed.
func (l *Linker) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-l.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (l *Linker) hasLink(vm string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[vm] != nil
}

func (l *Linker) refuse(conn *websocket.Conn, err error) {
	l.refused.Inc(1)
	l.log.Warn().Err(err).Msg("link refused")
	conn.Close(websocket.StatusPolicyViolation, truncateReason(err.Error()))
}

// truncateReason truncates a reason to a length that fits into a WebSocket close frame.
func truncateReason(reason string) string { return reason[:min(len(reason), 100)] }

// ServeHTTP accepts a link that another VM opens.
func (l *Linker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		http.Error(w, "closed", http.StatusServiceUnavailable)
		return
	}
	l.running.Add(1)
	l.mu.Unlock()
	defer l.running.Done()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	peer, err := l.acceptHandshake(ctx, conn)
	cancel()
	if err != nil {
		l.refuse(conn, err)
		return
	}
	l.run(conn, peer)
}

// run registers a link and serves it until it ends.
func (l *Linker) run(conn *websocket.Conn, peer Peer) {
	ctx, stop := context.WithCancel(l.ctx)
	defer stop()
	k := &link{peer: peer, conn: conn, queue: newQueue(), stop: stop}
	conn.SetReadLimit(MaxMessageSize)
	if !l.register(k) {
		l.refused.Inc(1)
		conn.Close(websocket.StatusPolicyViolation, "replaced by a newer process of this VM")
		return
	}
	var writer sync.WaitGroup
	writer.Go(func() {
		defer stop()
		k.writeLoop(ctx)
	})
	err := l.readLoop(ctx, k)
	stop()
	writer.Wait()
	l.unregister(k)
	_ = conn.CloseNow() // the link has already ended
	if !errors.Is(err, io.EOF) && !errors.Is(err, context.Canceled) {
		l.log.Info().Str("peer", peer.VM).Err(err).Msg("link ended")
	}
}

// register makes a link the current one to its VM. A newer link replaces an older one,
// because the peer opens a new link only after it has lost the old one. A link from an
// earlier process of the VM is rejected.
func (l *Linker) register(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.links[k.peer.VM]
	if l.closed || old != nil && old.peer.Boot > k.peer.Boot {
		return false
	}
	l.links[k.peer.VM] = k
	l.openLinks.Update(int64(len(l.links)))
	if old != nil {
		old.stop()
	}
	return true
}

func (l *Linker) unregister(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[k.peer.VM] == k {
		delete(l.links, k.peer.VM)
	}
	l.openLinks.Update(int64(len(l.links)))
}

func (k *link) writeLoop(ctx context.Context) {
	for {
		data, ok := k.queue.pop(ctx)
		if !ok {
			return
		}
		writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := k.conn.Write(writeCtx, websocket.MessageBinary, data)
		cancel()
		if err != nil {
			return
		}
	}
}

// readLoop reads messages and passes them to their handlers. A message that cannot be
// decoded ends only this link: its sender may be broken or malicious, and other links
// must not be affected.
func (l *Linker) readLoop(ctx context.Context, k *link) error {
	for {
		readCtx, cancel := context.WithTimeout(ctx, idleTimeout)
		kind, data, err := k.conn.Read(readCtx)
		cancel()
		if err != nil {
			return err
		}
		if kind != websocket.MessageBinary {
			l.broken.Inc(1)
			return ErrRefused.New("received a message that is not binary")
		}
		if err := l.dispatch(k.peer, data); err != nil {
			l.broken.Inc(1)
			return err
		}
	}
}

// dispatch calls the handler of a message. Unknown kinds are ignored, because a newer VM
// may send kinds that this version does not know.
func (l *Linker) dispatch(from Peer, data []byte) error {
	name, err := recorder.Kind(data)
	if err != nil {
		return err
	}
	l.mu.Lock()
	h := l.handlers[name]
	l.mu.Unlock()
	if h == nil {
		return nil
	}
	return h(from, data)
}
