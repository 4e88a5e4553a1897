package keeper_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/heathervane/heathervane/entry/process/keeper"
	"github.com/heathervane/heathervane/entry/process/meter"
	"github.com/heathervane/heathervane/entry/process/quarantiner"
	"github.com/heathervane/heathervane/entry/request/fingerprinter"
	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/ticker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience bounds a wait on an event.
const patience = 20 * time.Second

// A log keeps records, or fails all calls while it is down.
type log struct {
	mu      sync.Mutex
	down    bool
	records []appender.Record
}

func (l *log) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errors.New("down")
	}
	offset := uint64(len(l.records) + 1)
	l.records = append(l.records, appender.Record{Offset: offset, At: time.Now(), Data: data})
	return offset, nil
}

func (l *log) Read(_ context.Context, _ string, from uint64, _ int, _ time.Duration) (appender.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return appender.Batch{}, errors.New("down")
	}
	b := appender.Batch{Start: 1, End: uint64(len(l.records) + 1)}
	for _, r := range l.records {
		if r.Offset >= from {
			b.Records = append(b.Records, r)
		}
	}
	return b, nil
}

func (l *log) turn(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// hasRecords waits until something was appended.
func (l *log) hasRecords(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.records) > 0 {
			return poll.Success()
		}
		return poll.Continue("nothing is appended")
	}, poll.WithTimeout(patience))
}

func (l *log) start(t *testing.T) (q *quarantiner.Quarantiner, stop func()) {
	t.Helper()
	clock := ticker.New(time.Now, time.Millisecond)
	k := keeper.New(keeper.Deps{Log: l, Ticker: clock, Logger: zerolog.Nop()})
	q = quarantiner.New(quarantiner.Deps{Meter: meter.New(), Now: time.Now, Log: zerolog.Nop(), Broadcast: k.ScheduleAppend, MayRunTrial: nobody})
	k.SetQuarantine(q)
	ctx, cancel := context.WithCancel(t.Context())
	var parts sync.WaitGroup
	parts.Go(func() { clock.Run(ctx) })
	parts.Go(func() { k.Run(ctx) })
	return q, func() {
		cancel()
		parts.Wait()
	}
}

var one = fingerprinter.Of(&fingerprinter.Request{Body: []byte("one")})

func isHeld(t *testing.T, q *quarantiner.Quarantiner) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, held := q.Held(one); held {
			return poll.Success()
		}
		return poll.Continue("it is not held")
	}, poll.WithTimeout(patience), poll.WithDelay(5*time.Millisecond))
}

// Each VM has lost one engine only, and one that starts later none.
func TestVMsLearnFromTheLogWhatCrashesUpstreams(t *testing.T) {
	l := &log{}
	var all []*quarantiner.Quarantiner
	for i, upstream := range []string{"a", "b", "c"} {
		q, stop := l.start(t)
		defer stop()
		all = append(all, q)
		q.Lost(one, upstream, int64(i))
	}
	for _, q := range all {
		isHeld(t, q)
	}
	later, stop := l.start(t)
	defer stop()
	isHeld(t, later)
}

// The log is down while the request is found out, and the VM ends once it is back.
func TestWhatIsHeldOutlastsAnOutageOfTheLogAndItsVM(t *testing.T) {
	l := &log{down: true}
	q, stop := l.start(t)
	for _, upstream := range []string{"a", "b", "c"} {
		q.Lost(one, upstream, 1)
	}
	isHeld(t, q)
	l.turn(false)
	l.hasRecords(t)
	stop()
	again, stop := l.start(t)
	defer stop()
	isHeld(t, again)
}

// Losses of an hour ago are no losses of now, however late a VM reads of them.
func TestOldRecordsAreOld(t *testing.T) {
	l := &log{}
	q, stop := l.start(t)
	for _, upstream := range []string{"a", "b", "c"} {
		q.Lost(one, upstream, 1)
	}
	l.hasRecords(t)
	stop()
	for i := range l.records {
		l.records[i].At = l.records[i].At.Add(-time.Hour)
	}
	later, stop := l.start(t)
	defer stop()
	time.Sleep(100 * time.Millisecond)
	_, held := later.Held(one)
	assert.Assert(t, !held)
}

// nobody may try a held request.
func nobody(quarantiner.Fingerprint) bool { return false }
