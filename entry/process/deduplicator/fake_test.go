package deduplicator_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/heathervane/heathervane/entry/process/deduplicator"
	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/recorder"
	"github.com/heathervane/heathervane/library/ticker"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A fault is what happens to one append.
type fault int

const (
	none    fault = iota
	refused       // nothing is stored
	lost          // stored, but the response is lost
	never         // not stored, and the response is lost
	late          // stored at the next append, and the response is lost
	twice         // stored twice
)

// A fakeLog is an in-memory log with injected append faults.
type fakeLog struct {
	mu      sync.Mutex
	grown   chan struct{}
	records []appender.Record
	late    [][]byte
	faults  func(data []byte) fault
	down    bool // reads fail too
}

func newLog() *fakeLog { return &fakeLog{grown: make(chan struct{})} }

// setFaults changes the faults of future appends.
func (l *fakeLog) setFaults(faults func([]byte) fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// onFirstEntry returns faults that apply f to the first record with an entry.
func onFirstEntry(f fault) func([]byte) fault {
	done := false
	return func(data []byte) fault {
		b, err := recorder.UnwrapCalls(data)
		if done || err != nil || len(b.Calls) == 0 {
			return none
		}
		done = true
		return f
	}
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *fakeLog) store(data []byte) {
	l.records = append(l.records, appender.Record{Offset: uint64(len(l.records) + 1), At: time.Now(), Data: data})
	close(l.grown)
	l.grown = make(chan struct{})
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := none
	if l.faults != nil {
		f = l.faults(data)
	}
	if l.down {
		f = refused
	}
	for _, d := range l.late {
		l.store(d)
	}
	l.late = nil
	switch f {
	case refused:
		return 0, appender.ErrRefused.New("refused")
	case never:
		return 0, appender.ErrUnknown.New("never")
	case late:
		l.late = append(l.late, data)
		return 0, appender.ErrUnknown.New("late")
	case twice:
		l.store(data)
	default:
	}
	l.store(data)
	if f == lost {
		return 0, appender.ErrUnknown.New("lost")
	}
	return uint64(len(l.records)), nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from uint64, most int, wait time.Duration) (appender.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		l.mu.Lock()
		down, grown := l.down, l.grown
		b := appender.Batch{Start: 1, End: uint64(len(l.records) + 1)}
		if from < b.End {
			b.Records = append(b.Records, l.records[from-1:min(int(from)-1+most, len(l.records))]...)
		}
		l.mu.Unlock()
		if down {
			return appender.Batch{}, appender.ErrRead.New("down")
		}
		if len(b.Records) > 0 || ctx.Err() != nil {
			return b, nil
		}
		select {
		case <-grown:
		case <-ctx.Done():
		}
	}
}

type noMeter struct{}

func (noMeter) Count(string, int64) {}

// testInterval is the append interval of most tests, to keep them short.
const testInterval = 2 * time.Millisecond

// A vm is a running Deduplicator.
type vm struct {
	*deduplicator.Deduplicator
	stop        func()
	clockOffset *atomic.Int64 // how far its clock is ahead, in nanoseconds
}

// advance moves the clock of one VM forward, as a freeze does.
func (v vm) advance(d time.Duration) { v.clockOffset.Add(int64(d)) }

// run starts a Deduplicator on a log and waits until it is ready.
func run(t testing.TB, log deduplicator.Log, name string, boot uint64, gone func(string, uint64) bool) vm {
	t.Helper()
	return runWithInterval(t, log, name, boot, gone, testInterval)
}

// runWithInterval is run with an append interval.
func runWithInterval(t testing.TB, log deduplicator.Log, name string, boot uint64, gone func(string, uint64) bool, interval time.Duration) vm {
	t.Helper()
	var clockOffset atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	timer := ticker.New(now, time.Millisecond)
	d := deduplicator.New(deduplicator.Config{
		VM: name, Boot: boot, MaxStoredBody: 100, AppendInterval: interval,
		Limits: deduplicator.Limits{Window: time.Hour, MaxClockSkew: deduplicator.DefaultMaxClockSkew},
	}, log, timer, gone, noMeter{})
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	all.Go(func() { d.Run(ctx) }) //nolint:errcheck // it returns the context's error
	all.Go(func() { timer.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		all.Wait()
	})
	t.Cleanup(stop)
	waitUntil(t, func() bool { return d.Ready() == nil })
	return vm{d, stop, &clockOffset}
}

// waitUntil waits for a condition, for much longer than it should take.
func waitUntil(t testing.TB, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); {
		if time.Now().After(end) {
			t.Fatal("the condition was not met within 30 s")
		}
		time.Sleep(time.Millisecond)
	}
}

// testContext returns a context that ends a test that hangs.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func neverGone(string, uint64) bool { return false }

// call returns a booking with a key.
func call(key string) deduplicator.Call {
	return deduplicator.Call{Team: "t", Service: "s", Key: key, Method: "POST", Path: "/seats", Body: []byte("seat 7"), Timestamped: true}
}

func ok(body string) recorder.Outcome {
	return recorder.Outcome{Status: 200, Header: map[string]string{"Content-Type": "text/plain"}, Body: []byte(body)}
}
