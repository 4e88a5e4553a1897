// Package server assembles the parts of one entry VM's process, starts them and
// shuts them down in an order that aborts no request.
package server

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/connection/linker"
	"github.com/heathervane/heathervane/entry/connection/streamer"
	"github.com/heathervane/heathervane/entry/process/bounder"
	"github.com/heathervane/heathervane/entry/process/canceller"
	"github.com/heathervane/heathervane/entry/process/coordinator"
	"github.com/heathervane/heathervane/entry/process/deduplicator"
	"github.com/heathervane/heathervane/entry/process/dispatcher"
	"github.com/heathervane/heathervane/entry/process/drainer"
	"github.com/heathervane/heathervane/entry/process/gauger"
	"github.com/heathervane/heathervane/entry/process/keeper"
	"github.com/heathervane/heathervane/entry/process/meter"
	"github.com/heathervane/heathervane/entry/process/observer"
	"github.com/heathervane/heathervane/entry/process/quarantiner"
	"github.com/heathervane/heathervane/entry/process/setter"
	"github.com/heathervane/heathervane/entry/process/watcher"
	"github.com/heathervane/heathervane/entry/request/chatter"
	"github.com/heathervane/heathervane/entry/request/passer"
	"github.com/heathervane/heathervane/entry/request/reader"
	"github.com/heathervane/heathervane/entry/request/retrier"
	"github.com/heathervane/heathervane/entry/version/follower"
	"github.com/heathervane/heathervane/entry/version/viewer"
	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/lister"
	"github.com/heathervane/heathervane/library/ticker"
)

const (
	// tickInterval is the resolution of the ticker.
	tickInterval = 10 * time.Millisecond
	// pumpInterval bounds how late an expired waiting request is given up, and
	// how late a slot is used whose release brought no event.
	pumpInterval = 20 * time.Millisecond
	// observeInterval is how often engines with overdue responses are checked.
	// A slow engine must lose its share of requests within 2 s, which takes
	// several checks.
	observeInterval = 100 * time.Millisecond
	// requestReadTimeout bounds reading a request's header, and its body.
	// Callers are a few milliseconds away; 30 s are enough for a prompt of a
	// million tokens at 1 Mbit/s, and end connections that are only held open.
	requestReadTimeout = 30 * time.Second
	// idleTimeout is how long a connection may stay open without a request.
	idleTimeout = 2 * time.Minute
	// idleSweepInterval is how often expired idle connections to upstreams are closed.
	idleSweepInterval = time.Second
	// maxIdlePerUpstream bounds the idle connections kept to each upstream.
	maxIdlePerUpstream = 64
	// dialTimeout bounds connecting to an upstream. Upstreams are a few
	// milliseconds away, so a dial that takes a second has lost packets.
	dialTimeout = time.Second
)

// A Server is the process of one entry VM.
type Server struct {
	settings setter.Settings
	log      zerolog.Logger
	boot     uint64

	meter        *meter.Meter
	ticker       *ticker.Ticker
	records      *appender.Log
	follower     *follower.Follower
	linker       *linker.Linker
	coordinator  *coordinator.Coordinator
	dispatcher   *dispatcher.Dispatcher
	observer     *observer.Observer
	canceller    *canceller.Canceller
	deduplicator *deduplicator.Deduplicator
	keeper       *keeper.Keeper
	chatter      *chatter.Handler
	drainer      *drainer.Drainer
	watcher      *watcher.Handler
	bodies       *bounder.Bounder

	callersTLS, peersTLS, linksTLS *tls.Config

	view         atomic.Pointer[viewer.View]
	leaving      atomic.Bool
	fetching     atomic.Bool
	serviceState serviceState
	upstream     *http.Client
	carrier      *carrier.Carrier
	listeners    listeners
}

// New returns a Server with open listeners that serves nothing yet. Its boot
// number is its start time, so of two processes with the same id the later one
// has the higher number.
func New(s setter.Settings, log zerolog.Logger) (*Server, error) {
	v := &Server{settings: s, log: log, boot: uint64(time.Now().UnixNano())}
	v.meter = meter.New()
	v.ticker = ticker.New(time.Now, tickInterval)
	v.upstream = upstreamClient()
	v.carrier = carrier.New(time.Now)
	v.bodies = bounder.New(int64(s.Limits.Bodies))
	if err := v.setUpTLS(s); err != nil {
		return nil, err
	}
	if err := v.listeners.open(s); err != nil {
		return nil, err
	}
	platform := &http.Client{Transport: transport()}
	v.records = appender.New(s.Platform.Log, platform)
	v.follower = follower.New(v.records, v.ticker, v.meter.Registry(), log)
	v.newCoordination(lister.New(s.Platform.List, platform))
	v.newHandlers()
	if err := v.registerGauges(); err != nil {
		return nil, err
	}
	return v, nil
}

func transport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// upstreamClient returns a client without an overall timeout: a stream may last
// as long as its work, and each request carries its own limit.
func upstreamClient() *http.Client {
	noRedirects := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport(), CheckRedirect: noRedirects}
}

func (v *Server) newHandlers() {
	v.observer = observer.New(gauger.New(), time.Now, func(upstream string, boot uint64, cause string) {
		v.coordinator.Turned(upstream, boot, cause)
	})
	v.dispatcher = dispatcher.New(dispatcher.Config{
		Zone: v.settings.Zone, VM: v.settings.ID,
		Router: string(v.settings.Policy.Router), Queue: string(v.settings.Policy.Queue),
		Engines: string(v.settings.Policy.Engines),
	}, coordinatorSupply{v.coordinator}, v.observer, time.Now)
	bodies := &reader.Reader{MaxBytes: int64(v.settings.Limits.Body), Budget: v.bodies, Timeout: requestReadTimeout}
	v.keeper = keeper.New(keeper.Deps{Log: v.records, Ticker: v.ticker, Logger: v.log})
	quarantine := quarantiner.New(quarantiner.Deps{Meter: v.meter, Now: time.Now, Log: v.log, Broadcast: v.keeper.ScheduleAppend, MayRunTrial: v.mayRunTrial})
	v.keeper.SetQuarantine(quarantine)
	v.chatter = chatter.New(chatter.Config{VM: v.settings.ID, Boot: v.boot}, chatter.Deps{
		View: v.view.Load, Reader: bodies, Acquirer: v.dispatcher, Streamer: streamer.New(v.carrier),
		Canceller: v.canceller, Observer: v.observer, Retrier: newRetryBudget(), Quarantine: quarantine, Meter: v.meter, Now: time.Now,
	})
	calls := passer.New(v.settings.ID, v.boot, passer.Deps{
		View: v.view.Load, Reader: bodies, Carrier: v.carrier, Acquirer: v.dispatcher, Observer: v.observer,
		Retrier: newRetryBudget(), Deduplicator: v.deduplicator, Quarantine: quarantine, Meter: v.meter, Now: time.Now,
	})
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", v.chatter)
	mux.HandleFunc("GET /v1/models", v.chatter.Models)
	mux.HandleFunc("GET /v1/models/{model}", v.chatter.Models)
	mux.Handle(passer.PathPrefix, calls)
	mux.HandleFunc("/", v.chatter.NotFound)
	v.drainer = drainer.New(mux, v.settings.Limits.Streams)
	v.watcher = watcher.New(v.meter.Handler(v.log), v.status, v.configurationReady, v.coordinationReady, v.serviceReady)
}

// Run serves until ctx ends, then shuts down without aborting requests. It
// writes the addresses that it listens on to out, as one line of JSON.
func (v *Server) Run(ctx context.Context, out io.Writer) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	v.startBackground(background, &wg)
	failed := v.serve(&wg)
	if err := v.announce(out); err != nil {
		return err
	}
	v.log.Info().Uint64("boot", v.boot).Msg("started")
	select {
	case err := <-failed:
		stop()
		wg.Wait()
		return err
	case <-ctx.Done():
	}
	v.shutDown()
	stop()
	wg.Wait()
	v.log.Info().Msg("stopped")
	return nil
}

// startBackground starts the parts that run alongside requests.
func (v *Server) startBackground(ctx context.Context, wg *sync.WaitGroup) {
	v.follower.Subscribe(v.configure)
	v.ticker.Subscribe(pumpInterval, func(time.Time) { v.dispatcher.Pump() })
	v.ticker.Subscribe(observeInterval, v.observer.Tick)
	v.ticker.Subscribe(idleSweepInterval, func(time.Time) { v.carrier.CloseExpired() })
	v.subscribeServiceState()
	for _, run := range []func(context.Context){
		v.ticker.Run, v.follower.Run, v.pumpOnChange, v.runSweeps, v.runCheckpoints, v.runOrders, v.keeper.Run,
	} {
		wg.Go(func() { run(ctx) })
	}
	for name, run := range map[string]func(context.Context) error{
		"coordinator": v.coordinator.Run, "deduplicator": v.deduplicator.Run,
	} {
		wg.Go(func() {
			if err := run(ctx); err != nil && ctx.Err() == nil {
				v.log.Error().Err(err).Str("part", name).Msg("background part failed")
			}
		})
	}
}

// pumpOnChange dispatches waiting requests when lent slots arrive.
func (v *Server) pumpOnChange(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.coordinator.Changed():
			v.dispatcher.Pump()
		}
	}
}

// startupInfo is printed once the process listens, for the program that started
// it.
type startupInfo struct {
	ID      string `json:"id"`
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Watch   string `json:"watch"`
	PID     int    `json:"pid"`
}

func (v *Server) announce(out io.Writer) error {
	return json.NewEncoder(out).Encode(startupInfo{
		ID: v.settings.ID, Callers: v.listeners.callers.Addr().String(), Peers: v.listeners.peers.Addr().String(),
		Watch: v.listeners.watch.Addr().String(), PID: os.Getpid(),
	})
}

// newRetryBudget returns a retry budget. Each handler has its own, so that a
// failing service takes no retries from chat requests.
func newRetryBudget() *retryBudget {
	return &retryBudget{retrier: retrier.New(retrier.Config{}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
}

// A retryBudget is a retrier.Retrier that is safe for concurrent use.
type retryBudget struct {
	mu      sync.Mutex
	retrier *retrier.Retrier
}

// Decide decides whether a failed attempt is retried.
func (b *retryBudget) Decide(now time.Time, a retrier.Attempt) retrier.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retrier.Decide(now, a)
}

// Completed counts completed requests.
func (b *retryBudget) Completed(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retrier.Completed(n)
}
