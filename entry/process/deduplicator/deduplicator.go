// Package deduplicator runs calls with an idempotency key at most once per key.
//
// The platform's log orders the attempts. Before a VM sends such a call, it appends
// an intent and reads it back, and it sends the call only if its intent is the
// first for the key in the log. Two VMs that receive the same key thus agree
// without communicating. Otherwise a caller whose first booking succeeded but whose
// response was lost would book twice by retrying through another VM. After the call
// the VM appends the outcome, which is returned for every repetition of the key, or
// a record that it sent nothing, after which the next intent may win. An outcome is
// never replaced: if the winner's VM is gone, the outcome stays unknown and the call
// is not run again.
//
// Intents are appended in batches, because the log accepts only several hundred
// appends a second from all VMs together. While the log is down or has not been
// read to its end, calls with a key are refused as not run: they can safely be
// repeated later, whereas a second booking can't be undone.
//
// The package does not send calls and does not handle calls without a key: the VM
// that receives such a call sends it once.
package deduplicator

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/recorder"
)

// A Log is the platform's log. appender.Log implements it.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, most int, wait time.Duration) (appender.Batch, error)
}

// A Timer is the timer service. ticker.Ticker implements it.
type Timer interface {
	Now() time.Time
	Subscribe(every time.Duration, call func(time.Time)) (stop func())
}

// A Meter increments counters.
type Meter interface {
	Count(name string, n int64)
}

// A Config configures a Deduplicator.
type Config struct {
	// VM and Boot identify this process; no two processes share both.
	VM   string
	Boot uint64
	// Limits bound the age of keys.
	Limits Limits
	// MaxStoredBody is the largest response body, in bytes, that is stored for
	// repetitions; 0 means DefaultMaxStoredBody.
	MaxStoredBody int
	// AppendInterval is the minimum time between two appends of this VM; 0 means
	// DefaultAppendInterval.
	AppendInterval time.Duration
}

// Default settings.
const (
	// DefaultMaxClockSkew allows mainly for the clocks of callers: those of VMs
	// are kept in sync to well under a second.
	DefaultMaxClockSkew = 30 * time.Second
	// DefaultMaxStoredBody is many times the size of a booking confirmation.
	DefaultMaxStoredBody = 8 << 10
	// DefaultAppendInterval limits nine VMs that are always busy to 360 appends
	// a second, of the several hundred that the log accepts. A larger fleet needs
	// a longer interval.
	DefaultAppendInterval = 25 * time.Millisecond
)

const (
	// maxReadAge is the time since the last successful read after which the log
	// counts as down.
	maxReadAge = 5 * time.Second
	// recheckInterval is how often waiting calls check whether the winner's VM is
	// gone.
	recheckInterval = 500 * time.Millisecond
)

// A Deduplicator decides for one VM whether calls with a key may be sent. It is
// safe for concurrent use.
type Deduplicator struct {
	config  Config
	timer   Timer
	gone    func(vm string, boot uint64) bool
	meter   Meter
	batcher *batcher
	tailer  *tailer

	mu       sync.Mutex
	ledger   *Ledger
	caughtUp bool      // whether the last read reached the end of the log
	lastRead time.Time // time of the last successful read
	lastSeq  uint64
	watchers map[recorder.Hash]map[chan struct{}]struct{}
}

// New returns a Deduplicator. It refuses new keys until Run has read the log. gone
// reports whether a VM's process has certainly ended.
func New(c Config, log Log, timer Timer, gone func(vm string, boot uint64) bool, meter Meter) *Deduplicator {
	if c.MaxStoredBody == 0 {
		c.MaxStoredBody = DefaultMaxStoredBody
	}
	if c.AppendInterval == 0 {
		c.AppendInterval = DefaultAppendInterval
	}
	d := &Deduplicator{
		config:   c,
		timer:    timer,
		gone:     gone,
		meter:    meter,
		batcher:  newBatcher(log, meter),
		ledger:   NewLedger(c.Limits.Retention()),
		watchers: make(map[recorder.Hash]map[chan struct{}]struct{}),
	}
	d.tailer = &tailer{log: log, deduplicator: d, retry: make(chan struct{}, 1)}
	return d
}

// Run reads and appends until the context ends.
func (d *Deduplicator) Run(ctx context.Context) error {
	defer d.timer.Subscribe(d.config.AppendInterval, func(time.Time) { notify(d.batcher.tick) })()
	defer d.timer.Subscribe(recheckInterval, d.recheck)()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.batcher.run(ctx) })
	g.Go(func() error { return d.tailer.run(ctx) })
	return g.Wait()
}

// recheck handles what depends on time alone: it retries a failed read, wakes
// waiting calls, and appends an empty record if the log has been idle for too long.
func (d *Deduplicator) recheck(now time.Time) {
	notify(d.tailer.retry)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, watchers := range d.watchers {
		notifyAll(watchers)
	}
	if d.ready(now) == nil && now.Sub(d.ledger.LatestTime()) > d.idleInterval() {
		d.batcher.postEmpty()
	}
}

// idleInterval is how long the log may stay without records before this VM appends
// an empty one. A VM that starts assumes that it knows all calls since the time of
// the first retained record; in a stream without records it would have to refuse
// keys that were created long ago. The interval differs between VMs, so that one of
// them appends for all.
func (d *Deduplicator) idleInterval() time.Duration {
	base := d.config.Limits.Window / 8
	spread := hashOf([]byte(d.config.VM))[0]
	return base + base*time.Duration(spread)/256
}

// SetLimits replaces the limits on the age of keys, and so changes how long keys
// are remembered.
func (d *Deduplicator) SetLimits(l Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config.Limits = l
	d.ledger.SetRetention(l.Retention())
}

var errUnready = errs.Class("calls with a key")

// Ready returns why new keys can't be accepted now, or nil if they can.
func (d *Deduplicator) Ready() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready(d.timer.Now())
}

func (d *Deduplicator) ready(now time.Time) error {
	switch {
	case d.lastRead.IsZero():
		return errUnready.New("the log has not been read")
	case now.Sub(d.lastRead) > maxReadAge:
		return errUnready.New("the log was last read %s ago", now.Sub(d.lastRead).Round(time.Second))
	case !d.caughtUp:
		return errUnready.New("the log has not been read to its end")
	case d.batcher.overloaded():
		return errUnready.New("outcomes wait for the log")
	}
	return nil
}

// Pending returns the number of outcomes and abandonments still to be appended.
func (d *Deduplicator) Pending() int { return d.batcher.pending() }

// Flush returns when no outcome or abandonment is pending, or when the context ends.
// If a VM exits without it, the last outcomes are lost: repetitions of those calls
// get "unknown" instead of the response.
func (d *Deduplicator) Flush(ctx context.Context) error { return d.batcher.flush(ctx) }

func (d *Deduplicator) newAttempt() recorder.Attempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastSeq++
	return recorder.Attempt{VM: d.config.VM, Boot: d.config.Boot, Seq: d.lastSeq}
}

func (d *Deduplicator) attemptState(key recorder.Hash, a recorder.Attempt) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.AttemptState(key, a)
}

// completeSince returns the time since which this VM has missed no call.
func (d *Deduplicator) completeSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.CompleteSince()
}

// recordOutcome records the outcome of this VM's own call.
func (d *Deduplicator) recordOutcome(key recorder.Hash, a recorder.Attempt, o recorder.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.RecordOutcome(key, a, o)
	notifyAll(d.watchers[key])
}
