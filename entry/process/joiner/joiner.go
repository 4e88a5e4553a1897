// Package joiner assembles the process that forwards requests according to a platform's
// configuration, list of upstreams and protocol. It starts the components, applies the
// platform's records to them, and stops them in an order that interrupts no request. A
// Platform interprets the platform's encodings.
package joiner

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/connection/acceptor"
	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/connection/shedder"
	"github.com/heathervane/heathervane/entry/process/accountant"
	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/inspector"
	"github.com/heathervane/heathervane/entry/process/meter"
	"github.com/heathervane/heathervane/entry/process/picker"
	"github.com/heathervane/heathervane/entry/process/prober"
	"github.com/heathervane/heathervane/entry/process/quarantiner"
	"github.com/heathervane/heathervane/entry/process/replicator"
	"github.com/heathervane/heathervane/entry/process/reserver"
	"github.com/heathervane/heathervane/entry/process/switcher"
	"github.com/heathervane/heathervane/entry/process/syncer"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/fingerprinter"
	"github.com/heathervane/heathervane/entry/request/relayer"
	"github.com/heathervane/heathervane/entry/version/matcher"
	"github.com/heathervane/heathervane/library/ticker"
)

// The names of the streams of records that a Platform stores.
const (
	// Configuration holds the configuration and the zones out of service.
	Configuration = "configuration"
	// Upstreams holds an entry for each upstream.
	Upstreams = "upstreams"
	// VMs holds the addresses of entry VMs, the requests in quarantine and those that
	// have lost upstreams.
	VMs = "vms"
)

const (
	// tickInterval is the resolution of the timer service.
	tickInterval = 5 * time.Millisecond
	// staleCheckInterval is how often the copies of the platform's records are compared
	// with what the platform has confirmed to other VMs. It is a fraction of the interval
	// at which these report it.
	staleCheckInterval = gossiper.HeartbeatInterval / 2
	// idleSweepInterval is how often idle connections are swept.
	idleSweepInterval = time.Second
	// bodyMemoryDivisor limits request bodies to this fraction (1/n) of the VM's memory if
	// nothing else is limited.
	bodyMemoryDivisor = 4
	// callerConnsDivisor limits callers' connections to this fraction (1/n) of the file
	// descriptors, because each request may need another one for its upstream.
	callerConnsDivisor = 2
	// forwardedDivisor limits the requests in progress that other VMs have forwarded to this
	// fraction (1/n) of the file descriptors. Each needs one for that VM and one for its
	// upstream.
	forwardedDivisor = 8
)

// Settings configure a Process.
type Settings struct {
	// VM is this VM's name and Zone its availability zone.
	VM, Zone string
	// CallersAddress, ReadyAddress, PeersAddress and MetricsAddress are the addresses on
	// which the process listens for callers, readiness checks, peers and metrics.
	CallersAddress, ReadyAddress, PeersAddress, MetricsAddress string
	// ReadyPath is the path at which the load balancer checks whether this VM is ready.
	ReadyPath string
	// Cores is the share of CPU cores that the VM has.
	Cores float64
	// FleetBootstrap is set when all VMs of the fleet start now for the first time.
	FleetBootstrap bool
	// Memory is the VM's memory in bytes, and Descriptors how many sockets the process may
	// have open.
	Memory      int64
	Descriptors int
	Bounds      Bounds
	// Policy selects features that decide under load.
	Policy switcher.Policy
}

// Bounds are the operators' requirements for the whole fleet.
type Bounds struct {
	// RetryRatio is how many retries each request adds to the budget, and RetrySlack how
	// many are allowed in addition, in each RetryWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// ColdMultiplier and ColdSlack limit the requests per second to an upstream that is
	// in cold start.
	ColdMultiplier, ColdSlack float64
	// DrainTimeout is the time within which an upstream that leaves must get no more
	// requests.
	DrainTimeout time.Duration
	// ConfigApplyTimeout is the time within which a new version of the configuration must
	// be in force.
	ConfigApplyTimeout time.Duration
	// ShutdownGrace is how long a process may continue after it is told to stop.
	ShutdownGrace time.Duration
	// ReleaseTimeout is the time within which memory reserved at engines must be free
	// after its VM died.
	ReleaseTimeout time.Duration
}

// A ConfigChange is the content of a record of the Configuration stream.
type ConfigChange struct {
	// Config is a version of the configuration, or nil if the record does not hold one.
	Config *matcher.Config
	// Zone is a zone that is taken out of service or, if OutOfService is false, put back
	// into service. It is empty if the record does not concern a zone.
	Zone         string
	OutOfService bool
}

// A Platform implements a platform's encodings and calls.
type Platform interface {
	syncer.Source
	reserver.EngineClient
	relayer.Protocol
	// Report returns what an engine says it does.
	Report(ctx context.Context, address string) (inspector.Report, error)
	// RegisterVM stores a record of this VM for the other VMs.
	RegisterVM(ctx context.Context, m allocator.Member) error
	// StoreQuarantine stores a record for the other VMs that a request is held in
	// quarantine.
	StoreQuarantine(ctx context.Context, r quarantiner.Record) error
	// DeleteQuarantine deletes the record that StoreQuarantine stored.
	DeleteQuarantine(ctx context.Context, f fingerprinter.Fingerprint) error
	// ParseChange, ParseUpstream and ParseMember parse records of the streams
	// Configuration, Upstreams and VMs. An error describes what could not be parsed; such
	// a record changes nothing.
	ParseChange(r replicator.Record) (ConfigChange, error)
	ParseUpstream(r replicator.Record) (tracker.Upstream, error)
	ParseMember(r replicator.Record) (allocator.Member, error)
	// ParseQuarantine parses a record of the stream VMs and reports whether it was stored
	// by StoreQuarantine. For a deleted record only the fingerprint is known.
	ParseQuarantine(r replicator.Record) (q quarantiner.Record, ok bool, err error)
	// StoreLosses stores what a VM knows of the losses of requests that are not held,
	// DeleteLosses deletes such records, and ParseLosses parses a record of the stream
	// VMs and reports whether it is one of them. For a deleted record only the key is
	// known.
	StoreLosses(ctx context.Context, vm string, rs []quarantiner.Record) error
	DeleteLosses(ctx context.Context, keys []LossesKey) error
	ParseLosses(r replicator.Record) (k LossesKey, q quarantiner.Record, ok bool, err error)
}

// A LossesKey identifies what a VM stored about the losses of a request.
type LossesKey struct {
	Fingerprint fingerprinter.Fingerprint
	VM          string
}

// A Process is the process that forwards requests on one VM.
type Process struct {
	settings atomic.Pointer[Settings]
	platform Platform
	log      zerolog.Logger
	boot     int64
	self     allocator.Member

	meter     *meter.Meter
	ticker    *ticker.Ticker
	tracker   *tracker.Tracker
	allocator *allocator.Allocator
	gossiper  *gossiper.Gossiper
	carrier   *carrier.Carrier
	// peerCarrier sends requests to other VMs.
	peerCarrier *carrier.Carrier
	relayer     *relayer.Relayer
	memory      *accountant.Accountant
	retryBudget *retryBudget
	// reachability tells which services' upstreams this VM can reach.
	reachability *reachability
	// quarantine holds the requests that crash upstreams, and pendingDeletes those whose
	// records the platform may delete.
	quarantine     *quarantiner.Quarantiner
	pendingDeletes pendingDeletes
	// storedLosses are the platform's records of losses.
	storedLosses storedLosses
	// quarantineChanged receives a value when the quarantine may have changes to store, and
	// lossesToStore the losses among these.
	quarantineChanged chan struct{}
	lossesToStore     chan []quarantiner.Record
	acceptor          *acceptor.Acceptor
	syncers           []*syncer.Syncer
	// configured is closed once a configuration is in force, and listed is set once a first
	// list of upstreams has been applied.
	configured chan struct{}
	listed     atomic.Bool
	// vmListRead is closed once the first attempt to read the list of VMs has ended.
	vmListRead chan struct{}
	// registrationLost receives a value when the platform no longer has this VM's record.
	registrationLost chan struct{}
	// registered is this VM's record in the list of VMs, or nil if it has none.
	registered   atomic.Pointer[allocator.Member]
	relevantEnds map[string]*relevantEnd
	copies       map[string]*replicator.Copy

	table atomic.Pointer[matcher.Table]
	// stop is nil until the platform requests that this VM stops.
	stop           atomic.Pointer[plannedStop]
	zones          map[string]bool
	activeRequests atomic.Int64

	callers, readiness, metrics net.Listener
	datagrams                   *net.UDPConn
	records                     net.Listener
	// peerServer serves other VMs.
	peerServer *http.Server
}

// New creates a Process and opens its listeners.
func New(settings Settings, platform Platform, log zerolog.Logger) (*Process, error) {
	v := &Process{
		platform: platform, log: log, boot: time.Now().UnixNano(), meter: meter.New(),
		ticker: ticker.New(time.Now, tickInterval), tracker: tracker.New(), carrier: carrier.New(time.Now), peerCarrier: carrier.New(time.Now),
		zones: make(map[string]bool), copies: make(map[string]*replicator.Copy), vmListRead: make(chan struct{}), configured: make(chan struct{}),
		quarantineChanged: make(chan struct{}, 1), lossesToStore: make(chan []quarantiner.Record, 1), registrationLost: make(chan struct{}, 1),
		relevantEnds: map[string]*relevantEnd{Configuration: {}, Upstreams: {}, VMs: {}},
	}
	v.settings.Store(&settings)
	v.memory = accountant.New(memoryLimits(settings))
	// Until a list of upstreams has been read, it counts as outdated.
	v.tracker.SetOutdated(true)
	if err := v.openListeners(settings); err != nil {
		return nil, err
	}
	v.copies[Configuration] = replicator.New(v.applyConfiguration)
	v.copies[Upstreams] = replicator.New(v.applyUpstreams)
	v.copies[VMs] = replicator.New(v.applyVMs)
	v.setRestorePolicies()
	address, err := netip.ParseAddrPort(v.datagrams.LocalAddr().String())
	if err != nil {
		return nil, err
	}
	self := allocator.Member{VM: settings.VM, Address: address, Zone: settings.Zone, Cores: settings.Cores}
	v.self = self
	v.gossiper = gossiper.New(self, v.boot, sender{v.datagrams}, v.positions, time.Now, log)
	v.gossiper.OnPeerAhead(v.wakeSyncers)
	v.quarantine = quarantiner.New(quarantiner.Deps{Meter: v.meter, Now: time.Now, Log: log, Broadcast: func() {
		v.gossiper.ScheduleBroadcast()
		notify(v.quarantineChanged)
	}, MayRunTrial: v.mayRunTrial, MayRunEarlyTrial: v.mayRunEarlyTrial, MayStoreForOthers: v.readsForZone})
	v.gossiper.SetSharedState(v.quarantine, v.ticker)
	v.allocator = allocator.New(self, v.boot, allocator.Deps{
		Tracker: v.tracker, Sender: sender{v.datagrams}, Timer: v.ticker, Meter: v.meter, Members: v.gossiper.ReachableMembers, FleetSize: v.gossiper.FleetSize,
		Report: platform.Report, FleetRestarted: v.gossiper.FleetRestarted,
		KnownVMs: func() int { return len(v.gossiper.KnownVMs()) },
		Service:  v.service, ColdStartQuota: v.coldStartQuota, Policy: func() switcher.Policy { return v.settings.Load().Policy }, Now: time.Now, Log: log,
	})
	v.retryBudget = newRetryBudget(v)
	v.reachability = newReachability(v)
	probes := prober.New(prober.Deps{
		Tracker: v.tracker, Carrier: v.carrier, Meter: v.meter, Now: time.Now, Log: log,
		Rejected: func(status int, h http.Header) bool { return platform.ParseResponse(status, h).NotRun },
		Observe: func(u tracker.Upstream, status int, h http.Header) {
			v.relayer.RecordAnnouncements(u, platform.ParseResponse(status, h))
		},
	})
	v.relayer = relayer.New(relayer.Deps{
		VM: settings.VM, Peers: peers{picker.New(), v}, PeerCarrier: v.peerCarrier, MaxForwarded: settings.Descriptors / forwardedDivisor,
		Table: v.table.Load, Configured: v.configured, Protocol: platform, Allocator: v.allocator, Tracker: v.tracker, Carrier: v.carrier,
		Reserver:     reserver.New(settings.VM+"-"+strconv.FormatInt(v.boot, 36)+"-", platform, v.leaseDuration, log),
		MaxIdleConns: v.maxIdleConns, MaxOpenEnded: v.maxOpenEnded,
		Prober: probes, RetryBudget: v.retryBudget, Quarantine: v.quarantine, Memory: v.memory, Meter: v.meter, Now: time.Now, Log: log,
		ShuttingDown: v.leaving, Reachability: v.reachability,
	})
	v.acceptor = acceptor.New(v.callers, v, settings.Descriptors/callerConnsDivisor, time.Now, v.meter, log)
	v.ticker.Subscribe(shedder.ProbeInterval, v.acceptor.Probe)
	v.peerServer = v.newPeerServer()
	v.newSyncers()
	return v, v.registerGauges()
}

// serveForwarded serves a request that another VM has forwarded.
func (v *Process) serveForwarded(w http.ResponseWriter, q *http.Request) {
	v.activeRequests.Add(1)
	defer v.activeRequests.Add(-1)
	v.relayer.ServeForwarded(w, q)
}

// ServeHTTP passes a request to the relayer and counts the requests in progress.
func (v *Process) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	v.activeRequests.Add(1)
	defer v.activeRequests.Add(-1)
	v.relayer.ServeHTTP(w, q)
}

func (v *Process) registerGauges() error {
	for name, value := range map[string]func() int64{
		"waiting":   func() int64 { return int64(v.allocator.Waiting()) },
		"groups":    func() int64 { return int64(v.allocator.LedGroups()) },
		"active":    v.activeRequests.Load,
		"upstreams": func() int64 { return int64(v.tracker.Len()) },
		"vms":       func() int64 { return int64(len(v.gossiper.LiveVMs())) },
		"dials":     v.carrier.Dials,
		"held":      func() int64 { return int64(v.quarantine.Len()) },
		// The number of services whose upstreams this VM cannot reach.
		"unreachable": func() int64 { return int64(v.reachability.CountUnreachable()) },
		"version":     v.version,
	} {
		if err := v.meter.Gauge(name, value); err != nil {
			return err
		}
	}
	for k := range accountant.NumKinds {
		if err := v.meter.Gauge("memory."+k.String(), func() int64 { return v.memory.Usage("").ByKind[k] }); err != nil {
			return err
		}
	}
	return v.meter.Gauge("memory.limit", func() int64 { return v.memory.Usage("").Total })
}

// memoryLimits returns the limits of what requests may use of the VM's memory.
func memoryLimits(s Settings) accountant.Limits {
	if !s.Policy.Memory.Enabled(true) {
		return accountant.Limits{Total: s.Memory / bodyMemoryDivisor, BodiesOnly: true}
	}
	percent := s.Policy.MemoryPercent
	if percent == 0 {
		percent = switcher.DefaultMemoryPercent
	}
	return accountant.Limits{Total: s.Memory * percent / 100}
}

// maxOpenEnded returns the length limit of responses that do not state theirs.
func (v *Process) maxOpenEnded() int64 {
	if n := v.settings.Load().Policy.AnswerBytes; n > 0 {
		return n
	}
	return switcher.DefaultAnswerBytes
}

func (v *Process) version() int64 {
	if t := v.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Reload applies changed settings. Changed addresses take effect only when the process is
// restarted.
func (v *Process) Reload(s Settings) {
	old := *v.settings.Swap(&s)
	v.memory.SetLimits(memoryLimits(s))
	v.log.Info().Bool("bounds", old.Bounds != s.Bounds).Bool("policy", !reflect.DeepEqual(old.Policy, s.Policy)).Msg("settings reloaded")
}

// Run serves requests until ctx is done, then shuts down without interrupting requests.
func (v *Process) Run(ctx context.Context) {
	background, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	v.startBackground(background, &wg)
	v.log.Info().Int64("boot", v.boot).Str("callers", v.callers.Addr().String()).Msg("started")
	<-ctx.Done()
	v.shutDown()
	stop()
	v.closeListeners()
	wg.Wait()
	v.log.Info().Msg("stopped")
}

func (v *Process) startBackground(ctx context.Context, wg *sync.WaitGroup) {
	v.ticker.Subscribe(idleSweepInterval, func(time.Time) {
		v.carrier.CloseExpired()
		v.peerCarrier.CloseExpired()
	})
	v.ticker.Subscribe(gossiper.HeartbeatInterval, v.gossiper.Tick)
	v.ticker.Subscribe(gossiper.HeartbeatInterval, v.expireLapsed)
	v.ticker.Subscribe(gossiper.HeartbeatInterval, v.expireLost)
	v.ticker.Subscribe(gossiper.HeartbeatInterval, v.retryBudget.recordMembers)
	v.ticker.Subscribe(reachabilityInterval, v.reachability.startDueChecks)
	v.ticker.Subscribe(staleCheckInterval, func(time.Time) { v.checkOutdated() })
	for _, run := range []func(context.Context){v.ticker.Run, v.readVMListAndRegister, v.syncQuarantine, v.syncLosses, v.keepRegistered} {
		wg.Go(func() { run(ctx) })
	}
	for _, s := range v.syncers {
		wg.Go(func() { v.runSyncer(ctx, s) })
		wg.Go(func() { s.RunPeers(ctx) })
	}
	for _, run := range []func(){v.receiveDatagrams, v.acceptor.Run, v.serveReadiness, v.servePeers, v.serveMetrics} {
		wg.Go(run)
	}
}
