package joiner

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/process/accountant"
	"github.com/heathervane/heathervane/entry/process/pager"
	"github.com/heathervane/heathervane/entry/request/relayer"
	"github.com/heathervane/heathervane/library/describer"
)

const (
	// leaveAcceptPeriod is how long a leaving VM continues to accept connections: the load
	// balancer checks once a second and sends new connections until two checks have failed.
	leaveAcceptPeriod = 3500 * time.Millisecond
	// estimatePeriod is how long a leaving VM accepts requests that are likely to end before it
	// stops. The load balancer sends it no more connections then, and the requests on those
	// that callers keep can go to another VM. The platform expects 3 s; the signal may arrive
	// late.
	estimatePeriod = 2950 * time.Millisecond
	// shutdownReserve is how long before the end of the grace period the remaining
	// requests are interrupted, and interruptPeriod how long their callers may then take
	// to read the answers.
	shutdownReserve = 400 * time.Millisecond
	interruptPeriod = 150 * time.Millisecond
	// headerTimeout limits reading the header of a request to the readiness, records and
	// metrics servers.
	headerTimeout = 2 * time.Second
)

// openListeners opens the listeners for all addresses.
func (v *Process) openListeners(s Settings) error {
	for _, endpoint := range []struct {
		listener *net.Listener
		address  string
	}{
		{&v.callers, s.CallersAddress}, {&v.readiness, s.ReadyAddress}, {&v.records, s.PeersAddress}, {&v.metrics, s.MetricsAddress},
	} {
		config := &net.ListenConfig{}
		if endpoint.listener == &v.callers && s.Policy.Memory.Enabled(true) {
			config = carrier.CallerListenConfig()
		}
		l, err := config.Listen(context.Background(), "tcp", endpoint.address)
		if err != nil {
			return err
		}
		*endpoint.listener = l
	}
	// Datagrams arrive at the same port number as connections for records.
	address, err := net.ResolveUDPAddr("udp", v.records.Addr().String())
	if err != nil {
		return err
	}
	v.datagrams, err = net.ListenUDP("udp", address)
	return err
}

func (v *Process) closeListeners() {
	v.gossiper.AnnounceExit()
	for _, c := range []interface{ Close() error }{v.readiness, v.records, v.metrics, v.datagrams} {
		if err := c.Close(); err != nil {
			v.log.Debug().Err(err).Msg("failed to close listener")
		}
	}
}

// A plannedStop is a stop of this VM that the platform has requested. Settings that change
// afterwards do not move it.
type plannedStop struct {
	// acceptsUntil is when the VM closes its listener, strictAt when it begins to accept only
	// requests that are certain to end in time, interruptsAt when it interrupts those that
	// are still in progress, and endsAt when it closes their connections.
	acceptsUntil, strictAt, interruptsAt, endsAt time.Time
}

func newPlannedStop(now time.Time, grace time.Duration) *plannedStop {
	return &plannedStop{
		acceptsUntil: now.Add(min(leaveAcceptPeriod, grace/2)),
		strictAt:     now.Add(min(estimatePeriod, grace/2)),
		interruptsAt: now.Add(grace - shutdownReserve),
		endsAt:       now.Add(grace - shutdownReserve + interruptPeriod),
	}
}

// leaving reports whether this VM is about to stop.
func (v *Process) leaving() (relayer.Shutdown, bool) {
	stop := v.stop.Load()
	if stop == nil {
		return relayer.Shutdown{}, false
	}
	now := time.Now()
	return relayer.Shutdown{Left: stop.interruptsAt.Sub(now), Strict: !now.Before(stop.strictAt)}, true
}

// shutDown stops the process without interrupting requests: the readiness check fails, so
// that the load balancer stops sending connections; connections that still arrive are
// served; then requests in progress complete.
func (v *Process) shutDown() {
	now := time.Now()
	stop := newPlannedStop(now, v.settings.Load().Bounds.ShutdownGrace)
	v.stop.Store(stop)
	v.log.Info().Int64("active", v.activeRequests.Load()).Msg("leaving")
	v.gossiper.AnnounceLeaving()
	v.allocator.Drain(stop.interruptsAt)
	time.Sleep(time.Until(stop.strictAt))
	v.acceptor.Drain()
	time.Sleep(time.Until(stop.acceptsUntil))
	ctx, cancel := context.WithDeadline(context.Background(), stop.endsAt)
	defer cancel()
	defer time.AfterFunc(time.Until(stop.interruptsAt), v.interruptRequests).Stop()
	if err := v.acceptor.Shutdown(ctx); err != nil {
		v.log.Warn().Err(err).Int64("active", v.activeRequests.Load()).Msg("requests cut off at the end of the grace period")
	}
	if err := v.peerServer.Shutdown(ctx); err != nil {
		v.log.Warn().Err(err).Int64("active", v.activeRequests.Load()).Msg("forwarded requests cut off at the end of the grace period")
	}
}

func (v *Process) interruptRequests() {
	v.log.Info().Int64("active", v.activeRequests.Load()).Msg("interrupting requests at the end of the grace period")
	v.relayer.Interrupt()
}

func (v *Process) serveReadiness() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+v.settings.Load().ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		_, leaving := v.leaving()
		if leaving || v.table.Load() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	v.serve(v.readiness, mux, "ready")
}

// newPeerServer returns the server for other VMs, which fetch records and forward requests.
func (v *Process) newPeerServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET "+pager.Path, pager.New(v.copies, v.meter, time.Now, v.log))
	return &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if relayer.IsForwarded(q) {
			v.serveForwarded(w, q)
			return
		}
		mux.ServeHTTP(w, q)
	})}
}

func (v *Process) servePeers() { v.serveOn(v.records, v.peerServer, "peers") }

func (v *Process) serveMetrics() {
	mux := http.NewServeMux()
	mux.Handle("/", v.meter.Handler(v.log))
	mux.HandleFunc("GET "+describer.Path, v.serveLoad)
	v.serve(v.metrics, mux, "metrics")
}

// refusedPrefix begins the names of the counters of refused requests.
const refusedPrefix = "refused."

// memoryByKind returns the memory in use by what it is for.
func (v *Process) memoryByKind() map[string]int64 {
	all := make(map[string]int64)
	for k, n := range v.memory.Usage("").ByKind {
		all[accountant.Kind(k).String()] = n
	}
	return all
}

// serveLoad serves what this VM knows of the load, for operators.
func (v *Process) serveLoad(w http.ResponseWriter, _ *http.Request) {
	data, err := json.Marshal(describer.Load{
		VM: v.self.VM, Groups: v.allocator.Describe(), Refusals: v.meter.Counters(refusedPrefix), Memory: v.memoryByKind(),
	})
	if err != nil {
		v.log.Error().Err(err).Msg("failed to describe the load")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(data)
}

func (v *Process) serve(l net.Listener, h http.Handler, name string) {
	v.serveOn(l, &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}, name)
}

func (v *Process) serveOn(l net.Listener, s *http.Server, name string) {
	if err := s.Serve(l); err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
		v.log.Error().Str("side", name).Err(err).Msg("server stopped")
	}
}
