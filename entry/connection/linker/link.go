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

// A link is one open WebSocket.
type link struct {
	peer  Peer
	conn  *websocket.Conn
	queue *queue
	stop  context.CancelFunc
}

// dial opens a link from this side. The VM with the greater name waits first,
// so that two VMs that learn of one another together open one link and not two.
func (l *Linker) dial(vm, address string) {
	defer func() {
		l.mu.Lock()
		delete(l.dials, vm)
		l.mu.Unlock()
	}()
	if l.c.VM > vm && !l.rest(pause) {
		return
	}
	if l.linked(vm) {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, helloTime)
	defer cancel()
	scheme := "ws://"
	if l.c.TLS != nil {
		scheme = "wss://"
	}
	conn, res, err := websocket.Dial(ctx, scheme+address+Path, &websocket.DialOptions{HTTPClient: l.client})
	if res != nil && res.Body != nil {
		res.Body.Close()
	}
	if err != nil {
		l.rest(pause)
		return
	}
	peer, err := l.greet(ctx, conn, vm)
	if err != nil {
		l.refuse(conn, err)
		l.rest(pause)
		return
	}
	l.wait.Go(func() { l.run(conn, peer) })
}

// rest waits and says whether the Linker is still open.
func (l *Linker) rest(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-l.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func (l *Linker) linked(vm string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers[vm] != nil
}

func (l *Linker) refuse(conn *websocket.Conn, err error) {
	l.refused.Inc(1)
	l.log.Warn().Err(err).Msg("link refused")
	conn.Close(websocket.StatusPolicyViolation, short(err.Error()))
}

// short keeps a reason within what a WebSocket's close may carry.
func short(reason string) string { return reason[:min(len(reason), 100)] }

// ServeHTTP takes a link that another VM opens.
func (l *Linker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		http.Error(w, "closed", http.StatusServiceUnavailable)
		return
	}
	l.wait.Add(1)
	l.mu.Unlock()
	defer l.wait.Done()
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, helloTime)
	peer, err := l.welcome(ctx, conn)
	cancel()
	if err != nil {
		l.refuse(conn, err)
		return
	}
	l.run(conn, peer)
}

// run serves a link until it ends.
func (l *Linker) run(conn *websocket.Conn, peer Peer) {
	ctx, stop := context.WithCancel(l.ctx)
	defer stop()
	k := &link{peer: peer, conn: conn, queue: newQueue(), stop: stop}
	conn.SetReadLimit(MaxMessageSize)
	if !l.enter(k) {
		l.refused.Inc(1)
		conn.Close(websocket.StatusPolicyViolation, "an earlier process of this VM")
		return
	}
	var writer sync.WaitGroup
	writer.Go(func() {
		defer stop()
		k.write(ctx)
	})
	err := l.read(ctx, k)
	stop()
	writer.Wait()
	l.leave(k)
	_ = conn.CloseNow() // it has ended already
	if !errors.Is(err, io.EOF) && !errors.Is(err, context.Canceled) {
		l.log.Info().Str("peer", peer.VM).Err(err).Msg("link ended")
	}
}

// enter makes a link the one to its VM. A newer link replaces an older one: the
// other side opened it because it had lost the other. A link of an earlier
// process does not.
func (l *Linker) enter(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.peers[k.peer.VM]
	if l.closed || old != nil && old.peer.Boot > k.peer.Boot {
		return false
	}
	l.peers[k.peer.VM] = k
	l.links.Update(int64(len(l.peers)))
	if old != nil {
		old.stop()
	}
	return true
}

func (l *Linker) leave(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[k.peer.VM] == k {
		delete(l.peers, k.peer.VM)
	}
	l.links.Update(int64(len(l.peers)))
}

func (k *link) write(ctx context.Context) {
	for {
		data, ok := k.queue.take(ctx)
		if !ok {
			return
		}
		limited, cancel := context.WithTimeout(ctx, writeTime)
		err := k.conn.Write(limited, websocket.MessageBinary, data)
		cancel()
		if err != nil {
			return
		}
	}
}

// read hands out messages. What can't be understood ends this link only: the
// peer that sent it may be broken or hostile, and others must not feel it.
func (l *Linker) read(ctx context.Context, k *link) error {
	for {
		limited, cancel := context.WithTimeout(ctx, idle)
		kind, data, err := k.conn.Read(limited)
		cancel()
		if err != nil {
			return err
		}
		if kind != websocket.MessageBinary {
			l.broken.Inc(1)
			return ErrHello.New("a message that is not binary")
		}
		if err := l.dispatch(k.peer, data); err != nil {
			l.broken.Inc(1)
			return err
		}
	}
}

// dispatch calls the handler of a message. Kinds not known here are skipped: a
// newer VM may send more.
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
