// Package keeper stores quarantine records on the platform's log, from which all VMs
// read them, including VMs that start later. It is for fleets whose VMs exchange no
// datagrams. Which requests are quarantined is decided elsewhere.
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
	// retryInterval is how often the Keeper checks for parts that could not be
	// appended before or that are due again.
	retryInterval = 2 * time.Second
	// batchDelay is how long a change waits for others, since an upstream that
	// crashes breaks many streams at once.
	batchDelay = 10 * time.Millisecond
	// readWait is how long a read waits for the next record. appendTimeout and
	// readTimeout bound a call. readBackoff is the pause after a failed read.
	readWait      = 5 * time.Second
	readTimeout   = readWait + 2*time.Second
	appendTimeout = 2 * time.Second
	readBackoff   = 500 * time.Millisecond
	// maxRecordsPerRead is how many records one read requests.
	maxRecordsPerRead = 64
)

// A Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, most int, wait time.Duration) (appender.Batch, error)
}

// A Quarantine holds the records to store.
type Quarantine interface {
	PendingChanges(own bool) [][]byte
	Encode(rs []quarantiner.Record) [][]byte
	MergeOlder(data []byte, age time.Duration) (changed bool)
	Reconcile() (keep []quarantiner.Record, drop []quarantiner.Fingerprint)
	MarkStored(r quarantiner.Record)
}

// Deps are the dependencies of a Keeper.
type Deps struct {
	Log    Log
	Ticker *ticker.Ticker
	Logger zerolog.Logger
}

// A Keeper exchanges one VM's quarantine records with the platform's log.
type Keeper struct {
	deps       Deps
	quarantine Quarantine
	changed    chan struct{}
	tick       chan struct{}
	// nextOffset is the offset to read from.
	nextOffset uint64
}

// New returns a Keeper. SetQuarantine must be called before Run.
func New(d Deps) *Keeper {
	return &Keeper{deps: d, changed: make(chan struct{}, 1), tick: make(chan struct{}, 1)}
}

// SetQuarantine sets the quarantine to store. It must be called once, before Run.
func (k *Keeper) SetQuarantine(q Quarantine) { k.quarantine = q }

// ScheduleAppend makes Run append new records soon.
func (k *Keeper) ScheduleAppend() { signal(k.changed) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run appends and reads records until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	stop := k.deps.Ticker.Subscribe(retryInterval, func(time.Time) { signal(k.tick) })
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		k.read(ctx)
	}()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-k.changed:
			sleep(ctx, batchDelay)
			k.appendParts(ctx, k.quarantine.PendingChanges(true))
		case <-k.tick:
			k.appendParts(ctx, k.quarantine.PendingChanges(true))
			k.appendUnstored(ctx)
		}
	}
	<-ended
}

// appendUnstored appends what the log lacks. A change counts as sent even if the log did
// not take it.
func (k *Keeper) appendUnstored(ctx context.Context) {
	due, _ := k.quarantine.Reconcile()
	if len(due) == 0 || !k.appendParts(ctx, k.quarantine.Encode(due)) {
		return
	}
	for _, r := range due {
		k.quarantine.MarkStored(r)
	}
}

func (k *Keeper) appendParts(ctx context.Context, parts [][]byte) bool {
	for _, part := range parts {
		data, err := recorder.Wrap(recorder.KindQuarantine, recorder.QuarantineRecord{Part: part})
		if err == nil {
			appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
			_, err = k.deps.Log.Append(appendCtx, recorder.QuarantineStream, data)
			cancel()
		}
		if err != nil {
			k.deps.Logger.Warn().Err(err).Msg("could not append a quarantine record")
			return false
		}
	}
	return true
}

// read follows the log from its first retained record.
func (k *Keeper) read(ctx context.Context) {
	for ctx.Err() == nil {
		began := k.deps.Ticker.Now()
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		b, err := k.deps.Log.Read(readCtx, recorder.QuarantineStream, k.nextOffset, maxRecordsPerRead, readWait)
		cancel()
		if err != nil {
			k.deps.Logger.Debug().Err(err).Msg("could not read quarantine records")
			sleep(ctx, readBackoff)
			continue
		}
		k.apply(b)
		if len(b.Records) == 0 && k.deps.Ticker.Now().Sub(began) < readBackoff {
			// The log may return before readWait has passed. Do not poll it as fast
			// as it answers.
			sleep(ctx, readBackoff)
		}
	}
}

func (k *Keeper) apply(b appender.Batch) {
	if b.End < k.nextOffset {
		// The log was recreated.
		k.nextOffset = 0
	}
	for _, r := range b.Records {
		k.nextOffset = r.Offset + 1
		q, err := recorder.Unwrap[recorder.QuarantineRecord](r.Data)
		if err != nil {
			k.deps.Logger.Debug().Uint64("offset", r.Offset).Err(err).Msg("could not decode a quarantine record")
			continue
		}
		k.quarantine.MergeOlder(q.Part, max(0, k.deps.Ticker.Now().Sub(r.At)))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
