package joiner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/heathervane/heathervane/entry/process/pager"
)

const (
	// outTime is how long a VM that leaves goes on accepting: the balancer
	// asks once a second and sends new connections until two misses.
	outTime = 3500 * time.Millisecond
	// stopSpare is what is left of the grace when the last requests are cut.
	stopSpare = 400 * time.Millisecond
	// ownTime bounds the head of a request on the process's own sides.
	ownTime = 2 * time.Second
)

// open listens on all addresses.
func (v *Process) open(s Settings) error {
	for _, side := range []struct {
		listener *net.Listener
		address  string
	}{
		{&v.callers, s.CallersAddress}, {&v.ready, s.ReadyAddress}, {&v.records, s.PeersAddress}, {&v.metrics, s.MetricsAddress},
	} {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", side.address)
		if err != nil {
			return err
		}
		*side.listener = l
	}
	// Datagrams come to the same port as the records' connections.
	address, err := net.ResolveUDPAddr("udp", v.records.Addr().String())
	if err != nil {
		return err
	}
	v.datagrams, err = net.ListenUDP("udp", address)
	return err
}

func (v *Process) close() {
	v.gossiper.AnnounceExit()
	for _, c := range []interface{ Close() error }{v.ready, v.records, v.metrics, v.datagrams} {
		if err := c.Close(); err != nil {
			v.log.Debug().Err(err).Msg("side not closed")
		}
	}
}

// leaving says that this VM is about to stop, and what time it has left.
func (v *Process) leaving() (bool, time.Duration) {
	at := v.leaveAt.Load()
	if at == nil {
		return false, 0
	}
	return true, time.Until(at.Add(v.settings.Load().Bounds.ShutdownGrace - stopSpare))
}

// leave stops in the order that cuts no request: the balancer learns that no
// connections should come, those that come meanwhile are served, and those in
// progress end.
func (v *Process) leave() {
	now := time.Now()
	v.leaveAt.Store(&now)
	v.log.Info().Int64("active", v.active.Load()).Msg("leaving")
	grace := v.settings.Load().Bounds.ShutdownGrace
	v.gossiper.AnnounceLeaving()
	v.allocator.Drain(now.Add(grace - stopSpare))
	time.Sleep(min(outTime, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), now.Add(grace-stopSpare))
	defer cancel()
	if err := v.acceptor.Shutdown(ctx); err != nil {
		v.log.Warn().Err(err).Int64("active", v.active.Load()).Msg("requests cut at the end of the grace")
	}
}

func (v *Process) serveReady() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+v.settings.Load().ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		leaving, _ := v.leaving()
		if leaving || v.table.Load() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	v.serve(v.ready, mux, "ready")
}

func (v *Process) serveRecords() {
	mux := http.NewServeMux()
	mux.Handle("GET "+pager.Path, pager.New(v.copies, v.meter, time.Now, v.log))
	v.serve(v.records, mux, "records")
}

func (v *Process) serveMetrics() {
	v.serve(v.metrics, v.meter.Handler(), "metrics")
}

func (v *Process) serve(l net.Listener, h http.Handler, side string) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: ownTime}
	if err := s.Serve(l); err != nil && !errors.Is(err, net.ErrClosed) {
		v.log.Error().Str("side", side).Err(err).Msg("serving ended")
	}
}
