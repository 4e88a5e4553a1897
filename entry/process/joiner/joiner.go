// Package joiner joins the parts of a process that forwards requests by a
// platform's own configuration, list of upstreams and dialect. It starts them,
// folds what the platform's records say into them, and ends them in the order
// that cuts no request. What the platform's bytes mean is a Platform's matter.
package joiner

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/connection/acceptor"
	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/bounder"
	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/meter"
	"github.com/heathervane/heathervane/entry/process/prober"
	"github.com/heathervane/heathervane/entry/process/quarantiner"
	"github.com/heathervane/heathervane/entry/process/replicator"
	"github.com/heathervane/heathervane/entry/process/reserver"
	"github.com/heathervane/heathervane/entry/process/syncer"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/fingerprinter"
	"github.com/heathervane/heathervane/entry/request/relayer"
	"github.com/heathervane/heathervane/entry/version/matcher"
	"github.com/heathervane/heathervane/library/ticker"
)

// The streams of records that a Platform keeps.
const (
	// Configuration holds the configuration and the zones out of service.
	Configuration = "configuration"
	// Upstreams holds an entry for each upstream.
	Upstreams = "upstreams"
	// VMs holds the addresses of entry VMs, and the requests in quarantine.
	VMs = "vms"
)

const (
	// step is how finely the timer service keeps time.
	step = 5 * time.Millisecond
	// watchEvery is how often the copies of the platform's records are compared
	// with what the platform has told others: a part of the time in which these
	// say so.
	watchEvery = gossiper.HeartbeatInterval / 2
	// sweepEvery is how often idle connections are looked at.
	sweepEvery = time.Second
	// bodyShare is the part of the VM's memory that request bodies may take.
	bodyShare = 4
	// callersShare is the part of the descriptors that callers' connections may
	// take, as one over this: a request may need one more to its upstream.
	callersShare = 2
)

// Settings are what one process is started with.
type Settings struct {
	// VM is this VM's name and Zone its availability zone.
	VM, Zone string
	// CallersAddress, ReadyAddress, PeersAddress and MetricsAddress are the addresses to listen on.
	CallersAddress, ReadyAddress, PeersAddress, MetricsAddress string
	// ReadyPath is where the balancer asks whether this VM takes callers.
	ReadyPath string
	// Cores is the part of a core that the VM has.
	Cores float64
	// FleetBootstrap says that all VMs of the fleet start now, for the first time.
	FleetBootstrap bool
	// Memory is the VM's memory in bytes, Descriptors how many sockets the
	// process may have open.
	Memory      int64
	Descriptors int
	Bounds      Bounds
}

// Bounds are what operators demand of all VMs together.
type Bounds struct {
	// RetryRatio is how many repeats each request adds to the budget, and
	// RetrySlack how many there are besides, in each RetryWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// ColdMultiplier and ColdSlack bound the requests a second to an upstream
	// in cold start.
	ColdMultiplier, ColdSlack float64
	// DrainTimeout is how soon an upstream that leaves must get nothing more.
	DrainTimeout time.Duration
	// ConfigApplyTimeout is how soon a version of the configuration must be in force.
	ConfigApplyTimeout time.Duration
	// ShutdownGrace is how long a process may go on after it is told to stop.
	ShutdownGrace time.Duration
	// ReleaseTimeout is how soon memory set aside at engines must be free again.
	ReleaseTimeout time.Duration
}

// A ConfigChange is what a record of the configuration says.
type ConfigChange struct {
	// Config is a version of the configuration, nil where the record is none.
	Config *matcher.Config
	// Zone is the zone that is taken out of service or, where Out is false,
	// brought back.
	Zone         string
	OutOfService bool
}

// A Platform translates a platform's records and calls.
type Platform interface {
	syncer.Source
	reserver.EngineClient
	relayer.Protocol
	// RegisterVM records this VM for the other VMs.
	RegisterVM(ctx context.Context, m allocator.Member) error
	// StoreQuarantine records for the other VMs that a request is held in quarantine, and Drop
	// that it is no longer.
	StoreQuarantine(ctx context.Context, r quarantiner.Record) error
	DeleteQuarantine(ctx context.Context, f fingerprinter.Fingerprint) error
	// ParseChange, Upstream, Peer and Quarantined read records of the three streams, the
	// last two those of VMs. Errors name what could not be read; such a record
	// changes nothing.
	ParseChange(r replicator.Record) (ConfigChange, error)
	ParseUpstream(r replicator.Record) (tracker.Upstream, error)
	ParseMember(r replicator.Record) (allocator.Member, error)
	// ParseQuarantine says whether a record is one that Keep made; where it was dropped,
	// only its fingerprint is known.
	ParseQuarantine(r replicator.Record) (q quarantiner.Record, ok bool, err error)
}

// A Process is one VM's process.
type Process struct {
	settings atomic.Pointer[Settings]
	platform Platform
	log      zerolog.Logger
	boot     int64
	me       allocator.Member

	meter     *meter.Meter
	ticker    *ticker.Ticker
	tracker   *tracker.Tracker
	allocator *allocator.Allocator
	gossiper  *gossiper.Gossiper
	carrier   *carrier.Carrier
	relayer   *relayer.Relayer
	budget    *budget
	// quarantine knows the requests that crash upstreams, and dropping those that the
	// platform need not keep any longer.
	quarantine *quarantiner.Quarantiner
	dropping   dropping
	// found has a value after something was found out of a request.
	found    chan struct{}
	acceptor *acceptor.Acceptor
	syncers  []*syncer.Syncer
	// configured is closed once a configuration is in force, and listed says that a
	// first list of upstreams has come.
	configured chan struct{}
	listed     atomic.Bool
	// met is closed once the list of VMs has been read, marks are the ends of what
	// mattered in each stream.
	met chan struct{}
	// own is this VM's record in the list of VMs; nil where it has none.
	own    atomic.Pointer[allocator.Member]
	marks  map[string]*atomic.Int64
	copies map[string]*replicator.Copy

	table   atomic.Pointer[matcher.Table]
	leaveAt atomic.Pointer[time.Time]
	zones   map[string]bool
	active  atomic.Int64

	callers, ready, metrics net.Listener
	datagrams               *net.UDPConn
	records                 net.Listener
}

// New joins the parts of a process and opens its addresses.
func New(s Settings, p Platform, log zerolog.Logger) (*Process, error) {
	v := &Process{
		platform: p, log: log, boot: time.Now().UnixNano(), meter: meter.New(),
		ticker: ticker.New(time.Now, step), tracker: tracker.New(), carrier: carrier.New(time.Now),
		zones: make(map[string]bool), copies: make(map[string]*replicator.Copy), met: make(chan struct{}), configured: make(chan struct{}),
		found: make(chan struct{}, 1),
		marks: map[string]*atomic.Int64{Configuration: {}, Upstreams: {}, VMs: {}},
	}
	v.settings.Store(&s)
	// No list is one that is too old.
	v.tracker.SetOutdated(true)
	if err := v.open(s); err != nil {
		return nil, err
	}
	v.copies[Configuration] = replicator.New(v.configure)
	v.copies[Upstreams] = replicator.New(v.list)
	v.copies[VMs] = replicator.New(v.meet)
	self, err := netip.ParseAddrPort(v.datagrams.LocalAddr().String())
	if err != nil {
		return nil, err
	}
	me := allocator.Member{VM: s.VM, Address: self, Zone: s.Zone, Cores: s.Cores}
	v.me = me
	v.gossiper = gossiper.New(me, v.boot, sender{v.datagrams}, v.ends, time.Now, log)
	v.gossiper.OnPeerAhead(v.wake)
	v.quarantine = quarantiner.New(quarantiner.Deps{Meter: v.meter, Now: time.Now, Log: log, Broadcast: func() {
		v.gossiper.ScheduleBroadcast()
		signal(v.found)
	}, MayRunTrial: v.mayTry})
	v.gossiper.SetSharedState(v.quarantine, v.ticker)
	v.allocator = allocator.New(me, v.boot, allocator.Deps{
		Tracker: v.tracker, Sender: sender{v.datagrams}, Timer: v.ticker, Meter: v.meter, Members: v.gossiper.ReachableMembers, FleetSize: v.gossiper.FleetSize,
		Service: v.service, ColdStartQuota: v.coldPart, Now: time.Now, Log: log,
	})
	v.budget = newBudget(v)
	probes := prober.New(prober.Deps{
		Tracker: v.tracker, Carrier: v.carrier, Meter: v.meter, Now: time.Now, Log: log,
		Rejected: func(status int, h http.Header) bool { return p.ParseResponse(status, h).NotRun },
	})
	v.relayer = relayer.New(relayer.Deps{
		Table: v.table.Load, Configured: v.configured, Protocol: p, Allocator: v.allocator, Tracker: v.tracker, Carrier: v.carrier,
		Reserver:     reserver.New(s.VM+"-"+strconv.FormatInt(v.boot, 36)+"-", p, v.lease, log),
		MaxIdleConns: v.idlePart,
		Prober:       probes, RetryBudget: v.budget, Quarantine: v.quarantine, BodyMemory: bounder.New(s.Memory / bodyShare), Meter: v.meter, Now: time.Now, Log: log,
		ShuttingDown: v.leaving,
	})
	v.acceptor = acceptor.New(v.callers, v, s.Descriptors/callersShare, time.Now, log)
	v.newSyncers()
	return v, v.gauges()
}

// ServeHTTP counts the requests in progress and passes them on.
func (v *Process) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	v.active.Add(1)
	defer v.active.Add(-1)
	v.relayer.ServeHTTP(w, q)
}

func (v *Process) gauges() error {
	for name, value := range map[string]func() int64{
		"waiting":   func() int64 { return int64(v.allocator.Waiting()) },
		"groups":    func() int64 { return int64(v.allocator.LedGroups()) },
		"active":    v.active.Load,
		"upstreams": func() int64 { return int64(v.tracker.Len()) },
		"vms":       func() int64 { return int64(len(v.gossiper.LiveVMs())) },
		"dials":     v.carrier.Dials,
		"held":      func() int64 { return int64(v.quarantine.Len()) },
		"version":   v.version,
	} {
		if err := v.meter.Gauge(name, value); err != nil {
			return err
		}
	}
	return nil
}

func (v *Process) version() int64 {
	if t := v.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Reload puts changed settings in force. Addresses stay as they are until the
// process starts again.
func (v *Process) Reload(s Settings) {
	old := *v.settings.Swap(&s)
	v.log.Info().Bool("bounds", old.Bounds != s.Bounds).Msg("settings reloaded")
}

// Run serves until the context ends, then leaves without cutting a request.
func (v *Process) Run(ctx context.Context) {
	inner, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	v.background(inner, &parts)
	v.log.Info().Int64("boot", v.boot).Str("callers", v.callers.Addr().String()).Msg("started")
	<-ctx.Done()
	v.leave()
	stop()
	v.close()
	parts.Wait()
	v.log.Info().Msg("stopped")
}

func (v *Process) background(ctx context.Context, parts *sync.WaitGroup) {
	v.ticker.Subscribe(sweepEvery, func(time.Time) { v.carrier.CloseExpired() })
	v.ticker.Subscribe(gossiper.HeartbeatInterval, v.gossiper.Tick)
	v.ticker.Subscribe(gossiper.HeartbeatInterval, v.expire)
	v.ticker.Subscribe(gossiper.HeartbeatInterval, v.budget.note)
	v.ticker.Subscribe(watchEvery, func(time.Time) { v.watch() })
	for _, run := range []func(context.Context){v.ticker.Run, v.introduce, v.keep} {
		parts.Go(func() { run(ctx) })
	}
	for _, s := range v.syncers {
		parts.Go(func() { v.follow(ctx, s) })
		parts.Go(func() { s.RunPeers(ctx) })
	}
	for _, run := range []func(){v.receive, v.acceptor.Run, v.serveReady, v.serveRecords, v.serveMetrics} {
		parts.Go(run)
	}
}
