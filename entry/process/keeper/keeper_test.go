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

// waitTimeout bounds the wait for an event.
const waitTimeout = 20 * time.Second

// A log stores records. All calls fail while it is down.
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

func (l *log) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// waitForRecords waits until a record was appended.
func (l *log) waitForRecords(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.records) > 0 {
			return poll.Success()
		}
		return poll.Continue("no record was appended")
	}, poll.WithTimeout(waitTimeout))
}

func (l *log) start(t *testing.T) (q *quarantiner.Quarantiner, stop func()) {
	t.Helper()
	clock := ticker.New(time.Now, time.Millisecond)
	k := keeper.New(keeper.Deps{Log: l, Ticker: clock, Logger: zerolog.Nop()})
	q = quarantiner.New(quarantiner.Deps{Meter: meter.New(), Now: time.Now, Log: zerolog.Nop(), Broadcast: k.ScheduleAppend, MayRunTrial: denyTrial})
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

var fingerprint = fingerprinter.Of(&fingerprinter.Request{Body: []byte("one")})

func waitUntilHeld(t *testing.T, q *quarantiner.Quarantiner) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, held := q.Held(fingerprint); held {
			return poll.Success()
		}
		return poll.Continue("the request is not held")
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(5*time.Millisecond))
}

// Each VM has seen only one upstream crash, and a VM that starts later has seen none.
func TestVMsShareLossesThroughTheLog(t *testing.T) {
	l := &log{}
	var all []*quarantiner.Quarantiner
	for i, upstream := range []string{"a", "b", "c"} {
		q, stop := l.start(t)
		defer stop()
		all = append(all, q)
		q.Lost(fingerprint, upstream, int64(i))
	}
	for _, q := range all {
		waitUntilHeld(t, q)
	}
	later, stop := l.start(t)
	defer stop()
	waitUntilHeld(t, later)
}

// The log is down when the request is quarantined, and the VM stops once the log is
// back.
func TestQuarantineSurvivesLogOutageAndRestart(t *testing.T) {
	l := &log{down: true}
	q, stop := l.start(t)
	for _, upstream := range []string{"a", "b", "c"} {
		q.Lost(fingerprint, upstream, 1)
	}
	waitUntilHeld(t, q)
	l.setDown(false)
	l.waitForRecords(t)
	stop()
	again, stop := l.start(t)
	defer stop()
	waitUntilHeld(t, again)
}

// The log is down when the first two losses are observed, for longer than changes are sent
// again. A VM that starts later would not know of them, and let the request crash three more
// upstreams.
func TestLossesBelowTheThresholdSurviveLogOutage(t *testing.T) {
	l := &log{down: true}
	q, stop := l.start(t)
	defer stop()
	q.Lost(fingerprint, "a", 1)
	q.Lost(fingerprint, "b", 1)
	time.Sleep(7 * time.Second)
	l.setDown(false)
	l.waitForRecords(t)
	later, stop := l.start(t)
	defer stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if losses := later.Lost(fingerprint, "c", 1); losses < 3 {
			return poll.Continue("the VM knows of %d losses", losses)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
	_, held := later.Held(fingerprint)
	assert.Assert(t, held)
}

// Losses of an hour ago must not count as current, however late a VM reads them.
func TestOldLossesDoNotCount(t *testing.T) {
	l := &log{}
	q, stop := l.start(t)
	for _, upstream := range []string{"a", "b", "c"} {
		q.Lost(fingerprint, upstream, 1)
	}
	l.waitForRecords(t)
	stop()
	for i := range l.records {
		l.records[i].At = l.records[i].At.Add(-time.Hour)
	}
	later, stop := l.start(t)
	defer stop()
	time.Sleep(100 * time.Millisecond)
	_, held := later.Held(fingerprint)
	assert.Assert(t, !held)
}

// denyTrial lets no VM try a held request.
func denyTrial(quarantiner.Fingerprint) bool { return false }
