// Package deduplicator has calls that may not be repeated run at most once per key.
//
// The judge is the platform's log. A VM appends an intent before it sends such
// a call, reads it back, and sends only if its intent is the key's first in the
// log's order; so two VMs that get the same key agree without talking. Without
// it a caller who repeats a booking through another VM, because the first
// answer was lost, books twice. After the call the VM appends the outcome, which
// whoever repeats the key gets; or that it sent nothing, after which the next
// intent may win. The winner's word is never replaced: where its VM is gone the
// outcome is unknown for good, and the call is not run again.
//
// Intents are appended in batches, because the log takes only several hundred
// appends a second from all VMs together. While the log is down or has not been
// read to its end, calls with a key are refused as not run: they may be
// repeated later without harm, a second booking can't be undone.
//
// The package does not send calls, and does not judge calls without a key: the
// VM that has one sends it once.
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

// A Log is the platform's log, as appender.Log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, most int, wait time.Duration) (appender.Batch, error)
}

// A Timer is the timer service, as ticker.Ticker.
type Timer interface {
	Now() time.Time
	Subscribe(every time.Duration, call func(time.Time)) (stop func())
}

// A Meter counts.
type Meter interface {
	Count(name string, n int64)
}

// A Config sets up a Deduplicator.
type Config struct {
	// VM and Boot name this process; no two processes share both.
	VM   string
	Boot uint64
	// Limits bound the age of keys.
	Limits Limits
	// MaxStoredBody is the longest body in bytes that is kept for repetitions; 0 means
	// DefaultBody.
	MaxStoredBody int
	// AppendInterval is the least time between two appends of this VM; 0 means
	// DefaultPace.
	AppendInterval time.Duration
}

// Defaults.
const (
	// DefaultMaxClockSkew bounds how far any two clocks are apart. VMs' clocks are
	// disciplined to well under a second; those of callers are the loose end.
	DefaultMaxClockSkew = 30 * time.Second
	// DefaultMaxStoredBody holds a booking's confirmation many times over.
	DefaultMaxStoredBody = 8 << 10
	// DefaultAppendInterval has nine VMs that are always busy make 360 appends a second,
	// of the several hundred that the log takes. A larger fleet needs a longer
	// one.
	DefaultAppendInterval = 25 * time.Millisecond
)

const (
	// stale is after how long without a good read the log counts as down.
	stale = 5 * time.Second
	// recheck is how often waiting calls look whether the winner's VM is gone.
	recheck = 500 * time.Millisecond
)

// A Deduplicator judges calls with keys for one VM. It is safe for concurrent use.
type Deduplicator struct {
	config Config
	timer  Timer
	gone   func(vm string, boot uint64) bool
	meter  Meter
	queue  *batcher
	tail   *tailer

	mu       sync.Mutex
	ledger   *Ledger
	caught   bool      // the last read reached the end
	read     time.Time // of the last good read
	seq      uint64
	watchers map[recorder.Hash]map[chan struct{}]struct{}
}

// New returns a Deduplicator. It judges nothing until Run has read the log. gone says
// whether a VM's process has certainly ended.
func New(c Config, log Log, timer Timer, gone func(vm string, boot uint64) bool, meter Meter) *Deduplicator {
	if c.MaxStoredBody == 0 {
		c.MaxStoredBody = DefaultMaxStoredBody
	}
	if c.AppendInterval == 0 {
		c.AppendInterval = DefaultAppendInterval
	}
	k := &Deduplicator{
		config:   c,
		timer:    timer,
		gone:     gone,
		meter:    meter,
		queue:    newBatcher(log, meter),
		ledger:   NewLedger(c.Limits.Keep()),
		watchers: make(map[recorder.Hash]map[chan struct{}]struct{}),
	}
	k.tail = &tailer{log: log, deduplicator: k, tick: make(chan struct{}, 1)}
	return k
}

// Run reads and appends until the context ends.
func (k *Deduplicator) Run(ctx context.Context) error {
	defer k.timer.Subscribe(k.config.AppendInterval, func(time.Time) { poke(k.queue.tick) })()
	defer k.timer.Subscribe(recheck, k.check)()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return k.queue.run(ctx) })
	g.Go(func() error { return k.tail.run(ctx) })
	return g.Wait()
}

// check wakes what time alone moves on.
func (k *Deduplicator) check(now time.Time) {
	poke(k.tail.tick)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range k.watchers {
		wake(w)
	}
	if k.ready(now) == nil && now.Sub(k.ledger.Latest()) > k.quiet() {
		k.queue.mark()
	}
}

// quiet is after how long without records this VM appends an empty one. A VM
// that starts takes the first kept record's time for the time from which it
// knows all calls; in a stream without records it would have to refuse keys
// that are long made. VMs take different times, so that one does it for all.
func (k *Deduplicator) quiet() time.Duration {
	least := k.config.Limits.Window / 8
	spread := hashOf([]byte(k.config.VM))[0]
	return least + least*time.Duration(spread)/256
}

// SetLimits changes how long keys are known.
func (k *Deduplicator) SetLimits(l Limits) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config.Limits = l
	k.ledger.Keep(l.Keep())
}

var errUnready = errs.Class("calls with a key")

// Ready says why calls with a key can't be judged now, nil where they can.
func (k *Deduplicator) Ready() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ready(k.timer.Now())
}

func (k *Deduplicator) ready(now time.Time) error {
	switch {
	case k.read.IsZero():
		return errUnready.New("the log has not been read")
	case now.Sub(k.read) > stale:
		return errUnready.New("the log was last read %s ago", now.Sub(k.read).Round(time.Second))
	case !k.caught:
		return errUnready.New("the log has not been read to its end")
	case k.queue.crowded():
		return errUnready.New("outcomes wait for the log")
	}
	return nil
}

// Pending is how many outcomes and abandonments are still to be appended.
func (k *Deduplicator) Pending() int { return k.queue.pending() }

// Flush returns when none is pending, or when the context ends. A VM that leaves
// without it takes the last outcomes with it: whoever repeats those calls gets
// "unknown" instead of the answer.
func (k *Deduplicator) Flush(ctx context.Context) error { return k.queue.wait(ctx) }

func (k *Deduplicator) attempt() recorder.Attempt {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seq++
	return recorder.Attempt{VM: k.config.VM, Boot: k.config.Boot, Seq: k.seq}
}

func (k *Deduplicator) decide(key recorder.Hash, a recorder.Attempt) Standing {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Decide(key, a)
}

// since is the time from which on no call was missed.
func (k *Deduplicator) since() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Since()
}

// learn settles a key by this VM's own call.
func (k *Deduplicator) learn(key recorder.Hash, a recorder.Attempt, o recorder.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.Learn(key, a, o)
	wake(k.watchers[key])
}
