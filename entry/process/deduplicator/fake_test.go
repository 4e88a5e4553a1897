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
	refused       // nothing lands
	lost          // lands, and its answer is lost
	never         // neither lands nor answers
	late          // lands at the next append, and its answer is lost
	twice         // lands twice
)

// A fakeLog is a log in memory whose appends may fail.
type fakeLog struct {
	mu      sync.Mutex
	grown   chan struct{}
	records []appender.Record
	late    [][]byte
	faults  func(data []byte) fault
	down    bool // reads fail too
}

func newLog() *fakeLog { return &fakeLog{grown: make(chan struct{})} }

// set changes the faults of the appends to come.
func (l *fakeLog) set(faults func([]byte) fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// first applies a fault to the first record that holds an entry.
func first(f fault) func([]byte) fault {
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

func (l *fakeLog) land(data []byte) {
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
		l.land(d)
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
		l.land(data)
	default:
	}
	l.land(data)
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

// pace is the pace of most tests, to keep them short.
const pace = 2 * time.Millisecond

// A vm is a running Deduplicator.
type vm struct {
	*deduplicator.Deduplicator
	stop    func()
	skipped *atomic.Int64 // how far its clock was put forward
}

// skip lets time pass at one VM, as a freeze does.
func (v vm) skip(d time.Duration) { v.skipped.Add(int64(d)) }

// run starts a Deduplicator on a log and waits until it is ready.
func run(t testing.TB, log deduplicator.Log, name string, boot uint64, gone func(string, uint64) bool) vm {
	t.Helper()
	return runAt(t, log, name, boot, gone, pace)
}

// runAt is run with a pace.
func runAt(t testing.TB, log deduplicator.Log, name string, boot uint64, gone func(string, uint64) bool, pace time.Duration) vm {
	t.Helper()
	var skipped atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(skipped.Load())) }
	timer := ticker.New(now, time.Millisecond)
	k := deduplicator.New(deduplicator.Config{
		VM: name, Boot: boot, MaxStoredBody: 100, AppendInterval: pace,
		Limits: deduplicator.Limits{Window: time.Hour, MaxClockSkew: deduplicator.DefaultMaxClockSkew},
	}, log, timer, gone, noMeter{})
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	all.Go(func() { k.Run(ctx) }) //nolint:errcheck // it ends with the context's error
	all.Go(func() { timer.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		all.Wait()
	})
	t.Cleanup(stop)
	await(t, func() bool { return k.Ready() == nil })
	return vm{k, stop, &skipped}
}

// await waits for a condition, far longer than it should take.
func await(t testing.TB, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); {
		if time.Now().After(end) {
			t.Fatal("the condition did not come about in 30 s")
		}
		time.Sleep(time.Millisecond)
	}
}

// bounded is a context that ends a test that hangs.
func bounded(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func nobodyGone(string, uint64) bool { return false }

// call is a booking with a key.
func call(key string) deduplicator.Call {
	return deduplicator.Call{Team: "t", Service: "s", Key: key, Method: "POST", Path: "/seats", Body: []byte("seat 7"), Timestamped: true}
}

func ok(body string) recorder.Outcome {
	return recorder.Outcome{Status: 200, Header: map[string]string{"Content-Type": "text/plain"}, Body: []byte(body)}
}
