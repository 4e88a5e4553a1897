package follower_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/version/follower"
	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/folder"
	"github.com/heathervane/heathervane/library/recorder"
	"github.com/heathervane/heathervane/library/ticker"
)

// fakeLog keeps records in memory. It answers at once instead of waiting.
type fakeLog struct {
	now     func() time.Time
	start   uint64
	records []appender.Record
	down    error
	lose    bool
	during  func() // runs while a read is under way
	given   int    // records in the last answer
	reads   int    // answers so far
}

func (l *fakeLog) end() uint64 { return uint64(len(l.records)) + 1 }

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, most int, _ time.Duration) (appender.Batch, error) {
	l.reads++
	if l.down != nil {
		return appender.Batch{}, l.down
	}
	b := appender.Batch{Start: l.start, End: l.end()}
	for at := max(from, l.start); at < l.end() && len(b.Records) < most; at++ {
		b.Records = append(b.Records, l.records[at-1])
	}
	if l.during != nil {
		l.during()
	}
	l.given = len(b.Records)
	return b, nil
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	if l.down != nil {
		return 0, appender.ErrRefused.Wrap(l.down)
	}
	l.records = append(l.records, appender.Record{Offset: l.end(), At: l.now(), Data: data})
	if l.lose {
		return 0, appender.ErrUnknown.New("the answer is lost")
	}
	return l.end() - 1, nil
}

// world is one log, a clock driven by hand, and the VMs that follow.
type world struct {
	t     assert.TestingT
	log   *fakeLog
	clock time.Time
	ids   int
}

func newWorld(t assert.TestingT) *world {
	w := &world{t: t, clock: time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)}
	w.log = &fakeLog{now: w.now, start: 1}
	return w
}

func (w *world) now() time.Time { return w.clock }

func (w *world) follow() *follower.Follower {
	t := ticker.New(w.now, time.Second)
	return follower.New(w.log, t, metrics.NewRegistry(), zerolog.Nop())
}

// read has a VM read until it is at the end, or can't get there.
func (w *world) read(f *follower.Follower) error {
	for {
		err := f.Poll(context.Background())
		if err != nil || w.log.given == 0 {
			return err
		}
	}
}

func (w *world) started() *follower.Follower {
	f := w.follow()
	assert.NilError(w.t, w.read(f))
	return f
}

func (w *world) append(kind string, v any) {
	data, err := recorder.Wrap(kind, v)
	assert.NilError(w.t, err)
	_, err = w.log.Append(context.Background(), recorder.ConfigStream, data)
	assert.NilError(w.t, err)
}

func (w *world) publish(base uint64) {
	w.ids++
	w.append(recorder.KindPublish, recorder.Publish{
		Base: base, Manifest: []byte("zones = ['a', 'b']\nkeep = '1h'"), Who: "kim", ID: fmt.Sprint("id-", w.ids),
	})
}

func (w *world) out(zone string) {
	w.ids++
	w.append(recorder.KindOrder, recorder.Order{Kind: recorder.TargetZone, Name: zone, Out: true, Who: "kim", ID: fmt.Sprint("id-", w.ids)})
}

func ready(t *testing.T, f *follower.Follower, want bool, reason string) {
	t.Helper()
	got, why := f.Ready()
	assert.Equal(t, got, want, why)
	assert.Assert(t, strings.Contains(why, reason), why)
	assert.Equal(t, why == "", reason == "", why)
}

var errDown = errors.New("connection refused")

func TestFollowsAndTellsSubscribers(t *testing.T) {
	w := newWorld(t)
	f := w.follow()
	var versions []uint64
	stop := f.Subscribe(func(s folder.State) { versions = append(versions, s.Version) })
	ready(t, f, false, "the log has not been read yet")
	assert.NilError(t, w.read(f))
	ready(t, f, false, "no manifest has been published")
	w.publish(0)
	assert.NilError(t, w.read(f))
	w.publish(0)
	assert.NilError(t, w.read(f))
	w.publish(1)
	assert.NilError(t, w.read(f))
	ready(t, f, true, "")
	assert.DeepEqual(t, versions, []uint64{0, 1, 3})
	stop()
	w.publish(3)
	assert.NilError(t, w.read(f))
	assert.Equal(t, len(versions), 3)
	assert.Equal(t, f.State().Version, uint64(4))
}

// A VM that starts reads changes that were undone long ago. It must not serve
// by them on its way: a caller would meet a zone that is out.
func TestStartingVMShowsNoOldState(t *testing.T) {
	w := newWorld(t)
	for base := range uint64(40) {
		w.publish(base)
	}
	f := w.follow()
	f.Subscribe(func(s folder.State) { assert.Equal(t, s.Version, uint64(40)) })
	assert.NilError(t, f.Poll(context.Background()))
	assert.Assert(t, f.State() == nil)
	ready(t, f, false, "the log is being read, so far up to 16")
	assert.Assert(t, f.ShouldFetch(17, w.clock), "a peer's state is sooner taken up")
	assert.Assert(t, !f.ShouldFetch(16, w.clock))
	assert.NilError(t, w.read(f))
	ready(t, f, true, "")
}

// The log is down while a VM starts. It holds nothing to serve by, until a peer
// gives it a state; the balancer must not send it callers before.
func TestStartInAnOutage(t *testing.T) {
	w := newWorld(t)
	w.publish(0)
	peer := w.started()
	w.log.down = errDown
	f := w.follow()
	assert.ErrorContains(t, w.read(f), "refused")
	ready(t, f, false, "no peer has one, and the log can't be read")
	assert.Assert(t, f.ShouldFetch(peer.State().LastOffset, w.clock))
	snapshot, err := peer.Snapshot()
	assert.NilError(t, err)
	adopted, err := f.ApplySnapshot(snapshot)
	assert.NilError(t, err)
	assert.Assert(t, adopted)
	ready(t, f, true, "version 1 stays in force: the log can't be read")
	assert.Assert(t, !f.CheckpointDue(w.clock))
	w.log.down = nil
	w.out("a")
	assert.NilError(t, w.read(f))
	assert.Assert(t, f.State().IsOut(recorder.TargetZone, "a"))
	ready(t, f, true, "")
}

// The log answers one VM slowly, and its peers have the new version already.
func TestSlowLogIsMadeUpForByAPeer(t *testing.T) {
	w := newWorld(t)
	w.publish(0)
	slow, peer := w.started(), w.started()
	w.publish(1)
	w.out("a")
	assert.NilError(t, w.read(peer))
	assert.Assert(t, !slow.ShouldFetch(peer.State().LastOffset, w.clock), "peers differ by a moment at any change")
	w.clock = w.clock.Add(time.Second)
	assert.Assert(t, slow.ShouldFetch(peer.State().LastOffset, w.clock))
	old, err := slow.Snapshot()
	assert.NilError(t, err)
	snapshot, err := peer.Snapshot()
	assert.NilError(t, err)
	// The peer's state comes while the answer to a read is under way, which
	// then brings records that the state has already.
	w.log.during = func() {
		_, err := slow.ApplySnapshot(snapshot)
		assert.NilError(t, err)
	}
	assert.NilError(t, slow.Poll(context.Background()))
	w.log.during = nil
	assert.DeepEqual(t, slow.State(), peer.State())
	adopted, err := slow.ApplySnapshot(old)
	assert.NilError(t, err)
	assert.Assert(t, !adopted, "a late message took the VM back")
	assert.NilError(t, w.read(slow))
	assert.DeepEqual(t, slow.State(), peer.State())
}

// An answer of the log comes after a peer's state that is newer than it. It
// must not be taken for a log that has gone back.
func TestPeerOvertakesARead(t *testing.T) {
	w := newWorld(t)
	w.publish(0)
	slow, peer := w.started(), w.started()
	w.log.during = func() {
		w.log.during = nil
		w.publish(1)
		w.publish(2)
		assert.NilError(t, w.read(peer))
		snapshot, err := peer.Snapshot()
		assert.NilError(t, err)
		_, err = slow.ApplySnapshot(snapshot)
		assert.NilError(t, err)
	}
	assert.NilError(t, slow.Poll(context.Background()))
	ready(t, slow, true, "")
	assert.DeepEqual(t, slow.State(), peer.State())
}

func TestBrokenSnapshotsAreRefused(t *testing.T) {
	w := newWorld(t)
	w.publish(0)
	good := folder.NewCheckpoint(*w.started().State())
	bad := good
	bad.Manifest = []byte("seats = 0")
	f := w.follow()
	for _, c := range []any{bad, 5, "x", recorder.Checkpoint{Version: 9}} {
		data, err := recorder.Wrap(recorder.KindCheckpoint, c)
		assert.NilError(t, err)
		_, err = f.ApplySnapshot(data)
		assert.Assert(t, err != nil, "%v", c)
		_, err = f.ApplySnapshot(data[:len(data)/2])
		assert.Assert(t, err != nil, "%v", c)
	}
	_, err := f.ApplySnapshot(make([]byte, follower.MaxSnapshotBytes+1))
	assert.ErrorContains(t, err, "at most")
	assert.Assert(t, f.State() == nil)
}

// Records expire, and with them the publish in force. VMs that start later find
// the checkpoint; without one they would have no configuration at all.
func TestCheckpointOutlivesItsRecords(t *testing.T) {
	w := newWorld(t)
	w.publish(0)
	w.out("a")
	writer := w.started()
	assert.Assert(t, writer.CheckpointDue(w.clock))
	assert.NilError(t, writer.WriteCheckpoint(context.Background()))
	assert.Assert(t, !writer.CheckpointDue(w.clock))
	assert.NilError(t, w.read(writer))
	w.log.start = 3
	assert.DeepEqual(t, w.started().State(), writer.State())

	w.clock = w.clock.Add(15*time.Minute - time.Second)
	assert.Assert(t, !writer.CheckpointDue(w.clock))
	w.clock = w.clock.Add(time.Second)
	assert.Assert(t, writer.CheckpointDue(w.clock), "a quarter of the retention has gone")
	w.log.lose = true
	assert.Assert(t, appender.ErrUnknown.Has(writer.WriteCheckpoint(context.Background())))
	w.log.lose = false
	assert.Assert(t, !writer.CheckpointDue(w.clock), "it may have landed")
	assert.NilError(t, w.read(writer))
	w.clock = w.clock.Add(5 * time.Minute)
	assert.Assert(t, !writer.CheckpointDue(w.clock), "it has landed")

	w.clock = w.clock.Add(10 * time.Minute)
	w.log.down = errDown
	assert.Assert(t, appender.ErrRefused.Has(writer.WriteCheckpoint(context.Background())))
	assert.Assert(t, !writer.CheckpointDue(w.clock))
	w.clock = w.clock.Add(2 * time.Second)
	assert.Assert(t, writer.CheckpointDue(w.clock), "it has not landed")
}

func TestManyChangesMakeACheckpointDue(t *testing.T) {
	w := newWorld(t)
	w.publish(0)
	f := w.started()
	assert.NilError(t, f.WriteCheckpoint(context.Background()))
	assert.NilError(t, w.read(f))
	w.clock = w.clock.Add(5 * time.Minute)
	for range folder.CheckpointWindow {
		assert.Assert(t, !f.CheckpointDue(w.clock))
		w.publish(f.State().Version)
		assert.NilError(t, w.read(f))
	}
	assert.Assert(t, f.CheckpointDue(w.clock))
}

// A VM was frozen for longer than the log keeps records. What it holds stays in
// force until it finds how to go on; it takes up no record out of turn.
func TestGap(t *testing.T) {
	w := newWorld(t)
	w.publish(0)
	frozen, peer := w.started(), w.started()
	w.publish(1)
	w.publish(2)
	assert.NilError(t, w.read(peer))
	w.log.start = 3
	assert.NilError(t, w.read(frozen))
	assert.Equal(t, frozen.State().Version, uint64(1))
	ready(t, frozen, true, "the log dropped records after 1 unread")
	assert.Assert(t, !frozen.CheckpointDue(w.clock), "its checkpoint would be an old one")
	assert.NilError(t, peer.WriteCheckpoint(context.Background()))
	w.out("b")
	assert.NilError(t, w.read(frozen))
	assert.NilError(t, w.read(peer))
	assert.DeepEqual(t, frozen.State(), peer.State())
	ready(t, frozen, true, "")
}

// All VMs were replaced and every record that said the configuration is gone.
// No VM may make one up; an operator publishes anew.
func TestNothingLeft(t *testing.T) {
	w := newWorld(t)
	w.publish(0)
	w.publish(1)
	w.log.start = 2
	f := w.started()
	ready(t, f, false, "neither the log has a checkpoint nor a peer a state")
	w.publish(2)
	assert.NilError(t, w.read(f))
	ready(t, f, false, "publish anew")
	w.append(recorder.KindPublish, recorder.Publish{
		Base: w.log.end(), Anew: true, Manifest: []byte("zones = ['a']"), Who: "kim", ID: "anew",
	})
	assert.NilError(t, w.read(f))
	ready(t, f, true, "")
	assert.Equal(t, f.State().Version, uint64(4))
}

// The log was lost and begins again at 1. Its records would be taken for later
// ones than those read before, so none is taken and the operator is told.
func TestLogThatGoesBack(t *testing.T) {
	w := newWorld(t)
	w.publish(0)
	w.out("a")
	f := w.started()
	before := f.State()
	w.log.records = nil
	w.publish(0)
	assert.ErrorContains(t, w.read(f), "it ends at 2, and 2 has been read")
	ready(t, f, true, "it ends at 2, and 2")
	assert.Assert(t, !f.CheckpointDue(w.clock), "its records stand for other offsets")
	assert.DeepEqual(t, f.State(), before)
}

// A broken or hostile record lands on the stream, or a checkpoint that does not
// agree with what was folded. Neither may stop a VM or change what is in force.
func TestHostileRecords(t *testing.T) {
	w := newWorld(t)
	w.publish(0)
	f := w.started()
	w.append("later", 5)
	w.append(recorder.KindCheckpoint, "x")
	w.append(recorder.KindCheckpoint, recorder.Checkpoint{LastOffset: 3})
	_, err := w.log.Append(context.Background(), recorder.ConfigStream, []byte("\xffhello"))
	assert.NilError(t, err)
	assert.NilError(t, w.read(f))
	assert.Equal(t, f.State().Version, uint64(1))
	assert.Assert(t, f.CheckpointDue(w.clock), "a false checkpoint was taken for a good one")
	w.out("a")
	assert.NilError(t, w.read(f))
	assert.Assert(t, f.State().IsOut(recorder.TargetZone, "a"))
	ready(t, f, true, "")
}

// The log is down, or answers at once that there is nothing. Read without a
// pause, it would have no time for anything else once it is back.
func TestRunPausesAndEndsWithItsContext(t *testing.T) {
	for name, down := range map[string]error{"down": errDown, "does not wait": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				w.log.down = down
				ctx, cancel := context.WithCancel(t.Context())
				clock := ticker.New(w.now, time.Second)
				f := follower.New(w.log, clock, metrics.NewRegistry(), zerolog.Nop())
				ended := make(chan struct{})
				go func() {
					f.Run(ctx)
					close(ended)
				}()
				synctest.Wait()
				assert.Equal(t, w.log.reads, 1)
				w.clock = w.clock.Add(time.Second)
				clock.Tick()
				synctest.Wait()
				assert.Equal(t, w.log.reads, 2)
				cancel()
				<-ended
			})
		})
	}
}
