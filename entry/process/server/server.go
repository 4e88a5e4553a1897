// Package server joins the parts of one entry VM's process, starts them, and
// ends them in the order that cuts no request. It decides nothing else.
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
	// step is how finely the timer service keeps time.
	step = 10 * time.Millisecond
	// pumpEvery bounds how late a waiting request is given up, and how late a
	// place is used whose return brought no event.
	pumpEvery = 20 * time.Millisecond
	// watchEvery is how often engines that have not answered are looked at. A
	// slow engine must lose its share within 2 s, which takes several looks.
	watchEvery = 100 * time.Millisecond
	// patience is how long a request's head and body may each take. Callers
	// are a few milliseconds away; 30 s lets a million tokens through at 1
	// Mbit/s and ends who only holds a connection.
	patience = 30 * time.Second
	// idle is how long a connection may stand without a request.
	idle = 2 * time.Minute
	// mostIdle is how many idle connections are kept to each upstream.
	mostIdle = 64
	// dialTime bounds connecting to an upstream: upstreams are a few
	// milliseconds away, so that a dial of a second has lost its packets.
	dialTime = time.Second
)

// A Server is one process.
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

	view      atomic.Pointer[viewer.View]
	leaving   atomic.Bool
	fetching  atomic.Bool
	out       outs
	upstream  *http.Client
	listeners listeners
}

// New joins the parts of a process. Its boot number is the time of its start:
// of two processes under one id the later has the higher.
func New(s setter.Settings, log zerolog.Logger) (*Server, error) {
	v := &Server{settings: s, log: log, boot: uint64(time.Now().UnixNano())}
	v.meter = meter.New()
	v.ticker = ticker.New(time.Now, step)
	v.upstream = upstreamClient()
	v.bodies = bounder.New(int64(s.Limits.Bodies))
	if err := v.secure(s); err != nil {
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
	if err := v.gauges(); err != nil {
		return nil, err
	}
	return v, nil
}

func transport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
		MaxIdleConnsPerHost: mostIdle,
		IdleConnTimeout:     idle,
		DisableCompression:  true,
	}
}

// upstreamClient has no timeout of its own: a stream lasts as long as its work,
// and each request carries its limit.
func upstreamClient() *http.Client {
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport(), CheckRedirect: stay}
}

func (v *Server) newHandlers() {
	v.observer = observer.New(gauger.New(), time.Now, func(upstream string, boot uint64, cause string) {
		v.coordinator.Turned(upstream, boot, cause)
	})
	v.dispatcher = dispatcher.New(dispatcher.Config{
		Zone: v.settings.Zone, VM: v.settings.ID,
		Router: string(v.settings.Policy.Router), Queue: string(v.settings.Policy.Queue),
		Engines: string(v.settings.Policy.Engines),
	}, supply{v.coordinator}, v.observer, time.Now)
	bodies := &reader.Reader{MaxBytes: int64(v.settings.Limits.Body), Budget: v.bodies, Timeout: patience}
	v.keeper = keeper.New(keeper.Deps{Log: v.records, Ticker: v.ticker, Logger: v.log})
	quarantine := quarantiner.New(quarantiner.Deps{Meter: v.meter, Now: time.Now, Log: v.log, Broadcast: v.keeper.ScheduleAppend, MayRunTrial: v.mayTry})
	v.keeper.SetQuarantine(quarantine)
	v.chatter = chatter.New(chatter.Config{VM: v.settings.ID, Boot: v.boot}, chatter.Deps{
		View: v.view.Load, Reader: bodies, Acquirer: v.dispatcher, Streamer: streamer.New(v.upstream),
		Canceller: v.canceller, Observer: v.observer, Retrier: newBudget(), Quarantine: quarantine, Meter: v.meter, Now: time.Now,
	})
	calls := passer.New(v.settings.ID, v.boot, passer.Deps{
		View: v.view.Load, Reader: bodies, Acquirer: v.dispatcher, Observer: v.observer,
		Retrier: newBudget(), Deduplicator: v.deduplicator, Quarantine: quarantine, Meter: v.meter, Now: time.Now,
	})
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", v.chatter)
	mux.HandleFunc("GET /v1/models", v.chatter.Models)
	mux.HandleFunc("GET /v1/models/{model}", v.chatter.Models)
	mux.Handle(passer.PathPrefix, calls)
	mux.HandleFunc("/", v.chatter.NotFound)
	v.drainer = drainer.New(mux, v.settings.Limits.Streams)
	v.watcher = watcher.New(v.meter.Handler(), v.status, v.configured, v.coordinated, v.serving)
}

// Run serves until the context ends, then leaves without cutting a request. The
// line that tells its addresses goes to out.
func (v *Server) Run(ctx context.Context, out io.Writer) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	var parts sync.WaitGroup
	v.background(inner, &parts)
	failed := v.serve(&parts)
	if err := v.announce(out); err != nil {
		return err
	}
	v.log.Info().Uint64("boot", v.boot).Msg("started")
	select {
	case err := <-failed:
		stop()
		parts.Wait()
		return err
	case <-ctx.Done():
	}
	v.leave()
	stop()
	parts.Wait()
	v.log.Info().Msg("stopped")
	return nil
}

// background starts the parts that work beside requests.
func (v *Server) background(ctx context.Context, parts *sync.WaitGroup) {
	v.follower.Subscribe(v.configure)
	v.ticker.Subscribe(pumpEvery, func(time.Time) { v.dispatcher.Pump() })
	v.ticker.Subscribe(watchEvery, v.observer.Tick)
	v.subscribeOut()
	for _, run := range []func(context.Context){
		v.ticker.Run, v.follower.Run, v.pumpOnChange, v.sweep, v.checkpoints, v.orders, v.keeper.Run,
	} {
		parts.Go(func() { run(ctx) })
	}
	for name, run := range map[string]func(context.Context) error{
		"coordinator": v.coordinator.Run, "deduplicator": v.deduplicator.Run,
	} {
		parts.Go(func() {
			if err := run(ctx); err != nil && ctx.Err() == nil {
				v.log.Error().Err(err).Str("part", name).Msg("a part ended early")
			}
		})
	}
}

// pumpOnChange places waiting requests when lent slots arrive.
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

// A line is what the process prints when it listens, for whoever started it.
type line struct {
	ID      string `json:"id"`
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Watch   string `json:"watch"`
	PID     int    `json:"pid"`
}

func (v *Server) announce(out io.Writer) error {
	return json.NewEncoder(out).Encode(line{
		ID: v.settings.ID, Callers: v.listeners.callers.Addr().String(), Peers: v.listeners.peers.Addr().String(),
		Watch: v.listeners.watch.Addr().String(), PID: os.Getpid(),
	})
}

// newBudget returns a retry budget. Each handler has its own, so that a failing
// service takes no retries from questions.
func newBudget() *budget {
	return &budget{retrier: retrier.New(retrier.Config{}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
}

// A budget is a retrier that many requests use at once.
type budget struct {
	mu      sync.Mutex
	retrier *retrier.Retrier
}

// Decide says whether a failed attempt is made again.
func (b *budget) Decide(now time.Time, a retrier.Attempt) retrier.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retrier.Decide(now, a)
}

// Completed counts answered requests.
func (b *budget) Completed(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retrier.Completed(n)
}
