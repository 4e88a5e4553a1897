// Package keeper keeps the requests in quarantine on the platform's log, from which
// all VMs learn of them: those that run, and those that start later. It is for fleets
// whose VMs exchange no datagrams. It decides nothing.
package keeper

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/process/quarantiner"
	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/recorder"
	"github.com/heathervane/heathervane/library/ticker"
)

const (
	// lookEvery is how often it is looked at whether there is something to append
	// that could not be appended before, or is due again.
	lookEvery = 2 * time.Second
	// together is how long changes that come together wait for one another: an
	// upstream that dies breaks many streams at once.
	together = 10 * time.Millisecond
	// readWait is how long a read waits for the next record, appendTime and readTime
	// bound a call, and rest is the pause after one that failed.
	readWait   = 5 * time.Second
	readTime   = readWait + 2*time.Second
	appendTime = 2 * time.Second
	rest       = 500 * time.Millisecond
	// mostRecords is how many records one read asks for.
	mostRecords = 64
)

// A Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, most int, wait time.Duration) (appender.Batch, error)
}

// A Quarantine is what is kept.
type Quarantine interface {
	PendingChanges(own bool) [][]byte
	All() [][]byte
	MergeOlder(data []byte, age time.Duration) (news bool)
	Reconcile() (keep []quarantiner.Record, drop []quarantiner.Fingerprint)
	MarkStored(r quarantiner.Record)
}

// Deps are what a Keeper works with.
type Deps struct {
	Log    Log
	Ticker *ticker.Ticker
	Logger zerolog.Logger
}

// A Keeper is one VM's part.
type Keeper struct {
	deps   Deps
	kept   Quarantine
	change chan struct{}
	look   chan struct{}
	// next is the offset to read from.
	next uint64
}

// New returns a Keeper that keeps nothing until it is told what.
func New(d Deps) *Keeper {
	return &Keeper{deps: d, change: make(chan struct{}, 1), look: make(chan struct{}, 1)}
}

// SetQuarantine says what is kept. It is called once, before Run.
func (k *Keeper) SetQuarantine(q Quarantine) { k.kept = q }

// ScheduleAppend has changes appended soon.
func (k *Keeper) ScheduleAppend() { signal(k.change) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run appends and reads until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	stop := k.deps.Ticker.Subscribe(lookEvery, func(time.Time) { signal(k.look) })
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		k.read(ctx)
	}()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-k.change:
			pause(ctx, together)
			k.append(ctx, k.kept.PendingChanges(true))
		case <-k.look:
			k.append(ctx, k.kept.PendingChanges(true))
			k.retry(ctx)
		}
	}
	<-ended
}

// retry appends what is held and not on the log yet.
func (k *Keeper) retry(ctx context.Context) {
	due, _ := k.kept.Reconcile()
	if len(due) == 0 || !k.append(ctx, k.kept.All()) {
		return
	}
	for _, r := range due {
		k.kept.MarkStored(r)
	}
}

func (k *Keeper) append(ctx context.Context, parts [][]byte) bool {
	for _, part := range parts {
		data, err := recorder.Wrap(recorder.KindQuarantine, recorder.QuarantineRecord{Part: part})
		if err == nil {
			short, cancel := context.WithTimeout(ctx, appendTime)
			_, err = k.deps.Log.Append(short, recorder.Quarantine, data)
			cancel()
		}
		if err != nil {
			k.deps.Logger.Warn().Err(err).Msg("quarantine not recorded")
			return false
		}
	}
	return true
}

// read follows the log from its first record that is kept.
func (k *Keeper) read(ctx context.Context) {
	for ctx.Err() == nil {
		began := k.deps.Ticker.Now()
		short, cancel := context.WithTimeout(ctx, readTime)
		b, err := k.deps.Log.Read(short, recorder.Quarantine, k.next, mostRecords, readWait)
		cancel()
		if err != nil {
			k.deps.Logger.Debug().Err(err).Msg("quarantine not read")
			pause(ctx, rest)
			continue
		}
		k.take(b)
		if len(b.Records) == 0 && k.deps.Ticker.Now().Sub(began) < rest {
			// A log that does not wait as asked must not be read as fast as it answers.
			pause(ctx, rest)
		}
	}
}

func (k *Keeper) take(b appender.Batch) {
	if b.End < k.next {
		// The log was begun anew.
		k.next = 0
	}
	for _, r := range b.Records {
		k.next = r.Offset + 1
		q, err := recorder.Unwrap[recorder.QuarantineRecord](r.Data)
		if err != nil {
			k.deps.Logger.Debug().Uint64("offset", r.Offset).Err(err).Msg("record of a quarantine not understood")
			continue
		}
		k.kept.MergeOlder(q.Part, max(0, k.deps.Ticker.Now().Sub(r.At)))
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
