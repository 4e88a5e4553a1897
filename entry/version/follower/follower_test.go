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

// fakeLog keeps records in memory. Its reads return at once instead of waiting.
type fakeLog struct {
	now        func() time.Time
	start      uint64
	records    []appender.Record
	err        error
	loseAnswer bool
	onRead     func() // called during a read
	lastCount  int    // number of records in the last response
	reads      int    // number of reads so far
}

func (l *fakeLog) end() uint64 { return uint64(len(l.records)) + 1 }

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, most int, _ time.Duration) (appender.Batch, error) {
	l.reads++
	if l.err != nil {
		return appender.Batch{}, l.err
	}
	b := appender.Batch{Start: l.start, End: l.end()}
	for at := max(from, l.start); at < l.end() && len(b.Records) < most; at++ {
		b.Records = append(b.Records, l.records[at-1])
	}
	if l.onRead != nil {
		l.onRead()
	}
	l.lastCount = len(b.Records)
	return b, nil
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	if l.err != nil {
		return 0, appender.ErrRefused.Wrap(l.err)
	}
	l.records = append(l.records, appender.Record{Offset: l.end(), At: l.now(), Data: data})
	if l.loseAnswer {
		return 0, appender.ErrUnknown.New("the response was lost")
	}
	return l.end() - 1, nil
}

// fixture holds a log and a manually advanced clock that several Followers share.
type fixture struct {
	t     assert.TestingT
	log   *fakeLog
	clock time.Time
	ids   int
}

func newFixture(t assert.TestingT) *fixture {
	fx := &fixture{t: t, clock: time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)}
	fx.log = &fakeLog{now: fx.now, start: 1}
	return fx
}

func (fx *fixture) now() time.Time { return fx.clock }

func (fx *fixture) newFollower() *follower.Follower {
	t := ticker.New(fx.now, time.Second)
	return follower.New(fx.log, t, metrics.NewRegistry(), zerolog.Nop())
}

// readToEnd polls until the Follower has read everything or a read fails.
func (fx *fixture) readToEnd(f *follower.Follower) error {
	for {
		err := f.Poll(context.Background())
		if err != nil || fx.log.lastCount == 0 {
			return err
		}
	}
}

func (fx *fixture) startedFollower() *follower.Follower {
	f := fx.newFollower()
	assert.NilError(fx.t, fx.readToEnd(f))
	return f
}

func (fx *fixture) append(kind string, v any) {
	data, err := recorder.Wrap(kind, v)
	assert.NilError(fx.t, err)
	_, err = fx.log.Append(context.Background(), recorder.ConfigStream, data)
	assert.NilError(fx.t, err)
}

func (fx *fixture) publish(base uint64) {
	fx.ids++
	fx.append(recorder.KindPublish, recorder.Publish{
		Base: base, Manifest: []byte("zones = ['a', 'b']\nkeep = '1h'"), Who: "kim", ID: fmt.Sprint("id-", fx.ids),
	})
}

func (fx *fixture) takeOut(zone string) {
	fx.ids++
	fx.append(recorder.KindOrder, recorder.Order{Kind: recorder.TargetZone, Name: zone, Out: true, Who: "kim", ID: fmt.Sprint("id-", fx.ids)})
}

func assertReady(t *testing.T, f *follower.Follower, want bool, reason string) {
	t.Helper()
	got, why := f.Ready()
	assert.Equal(t, got, want, why)
	assert.Assert(t, strings.Contains(why, reason), why)
	assert.Equal(t, why == "", reason == "", why)
}

var errDown = errors.New("connection refused")

func TestFollowsLogAndNotifiesSubscribers(t *testing.T) {
	fx := newFixture(t)
	f := fx.newFollower()
	var versions []uint64
	stop := f.Subscribe(func(s folder.State) { versions = append(versions, s.Version) })
	assertReady(t, f, false, "the log has not been read yet")
	assert.NilError(t, fx.readToEnd(f))
	assertReady(t, f, false, "no manifest has been published")
	fx.publish(0)
	assert.NilError(t, fx.readToEnd(f))
	fx.publish(0)
	assert.NilError(t, fx.readToEnd(f))
	fx.publish(1)
	assert.NilError(t, fx.readToEnd(f))
	assertReady(t, f, true, "")
	assert.DeepEqual(t, versions, []uint64{0, 1, 3})
	stop()
	fx.publish(3)
	assert.NilError(t, fx.readToEnd(f))
	assert.Equal(t, len(versions), 3)
	assert.Equal(t, f.State().Version, uint64(4))
}

// A starting VM reads changes that were undone long ago. It must not serve with such
// intermediate states, or requests could go to a zone that is out of service.
func TestStartingVMExposesNoIntermediateState(t *testing.T) {
	fx := newFixture(t)
	for base := range uint64(40) {
		fx.publish(base)
	}
	f := fx.newFollower()
	f.Subscribe(func(s folder.State) { assert.Equal(t, s.Version, uint64(40)) })
	assert.NilError(t, f.Poll(context.Background()))
	assert.Assert(t, f.State() == nil)
	assertReady(t, f, false, "the log is being read, so far up to 16")
	assert.Assert(t, f.ShouldFetch(17, fx.clock), "a starting VM should fetch from its peer at once")
	assert.Assert(t, !f.ShouldFetch(16, fx.clock))
	assert.NilError(t, fx.readToEnd(f))
	assertReady(t, f, true, "")
}

// The log is down while a VM starts. The VM has no configuration and must not be
// ready until it gets a state from a peer.
func TestStartDuringLogOutage(t *testing.T) {
	fx := newFixture(t)
	fx.publish(0)
	peer := fx.startedFollower()
	fx.log.err = errDown
	f := fx.newFollower()
	assert.ErrorContains(t, fx.readToEnd(f), "refused")
	assertReady(t, f, false, "no peer has one, and the log can't be read")
	assert.Assert(t, f.ShouldFetch(peer.State().LastOffset, fx.clock))
	snapshot, err := peer.Snapshot()
	assert.NilError(t, err)
	adopted, err := f.ApplySnapshot(snapshot)
	assert.NilError(t, err)
	assert.Assert(t, adopted)
	assertReady(t, f, true, "version 1 stays in force: the log can't be read")
	assert.Assert(t, !f.CheckpointDue(fx.clock))
	fx.log.err = nil
	fx.takeOut("a")
	assert.NilError(t, fx.readToEnd(f))
	assert.Assert(t, f.State().IsOut(recorder.TargetZone, "a"))
	assertReady(t, f, true, "")
}

// The log responds to one VM slowly, while its peers already have the new version.
func TestPeerStateIsUsedWhenTheLogIsSlow(t *testing.T) {
	fx := newFixture(t)
	fx.publish(0)
	slow, peer := fx.startedFollower(), fx.startedFollower()
	fx.publish(1)
	fx.takeOut("a")
	assert.NilError(t, fx.readToEnd(peer))
	assert.Assert(t, !slow.ShouldFetch(peer.State().LastOffset, fx.clock), "peers may be briefly ahead after any change")
	fx.clock = fx.clock.Add(time.Second)
	assert.Assert(t, slow.ShouldFetch(peer.State().LastOffset, fx.clock))
	old, err := slow.Snapshot()
	assert.NilError(t, err)
	snapshot, err := peer.Snapshot()
	assert.NilError(t, err)
	// The peer's state arrives during a read, which then returns records that
	// are already part of that state.
	fx.log.onRead = func() {
		_, err := slow.ApplySnapshot(snapshot)
		assert.NilError(t, err)
	}
	assert.NilError(t, slow.Poll(context.Background()))
	fx.log.onRead = nil
	assert.DeepEqual(t, slow.State(), peer.State())
	adopted, err := slow.ApplySnapshot(old)
	assert.NilError(t, err)
	assert.Assert(t, !adopted, "a delayed snapshot rolled the VM back")
	assert.NilError(t, fx.readToEnd(slow))
	assert.DeepEqual(t, slow.State(), peer.State())
}

// A response from the log arrives after a newer state from a peer. It must not be
// mistaken for a log that has lost records.
func TestPeerStateArrivesDuringARead(t *testing.T) {
	fx := newFixture(t)
	fx.publish(0)
	slow, peer := fx.startedFollower(), fx.startedFollower()
	fx.log.onRead = func() {
		fx.log.onRead = nil
		fx.publish(1)
		fx.publish(2)
		assert.NilError(t, fx.readToEnd(peer))
		snapshot, err := peer.Snapshot()
		assert.NilError(t, err)
		_, err = slow.ApplySnapshot(snapshot)
		assert.NilError(t, err)
	}
	assert.NilError(t, slow.Poll(context.Background()))
	assertReady(t, slow, true, "")
	assert.DeepEqual(t, slow.State(), peer.State())
}

func TestInvalidSnapshotsAreRejected(t *testing.T) {
	fx := newFixture(t)
	fx.publish(0)
	good := folder.NewCheckpoint(*fx.startedFollower().State())
	bad := good
	bad.Manifest = []byte("seats = 0")
	f := fx.newFollower()
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

// Records expire, including the one that published the current configuration. VMs
// that start later use the checkpoint; without it they would have no configuration.
func TestCheckpointReplacesExpiredRecords(t *testing.T) {
	fx := newFixture(t)
	fx.publish(0)
	fx.takeOut("a")
	writer := fx.startedFollower()
	assert.Assert(t, writer.CheckpointDue(fx.clock))
	assert.NilError(t, writer.WriteCheckpoint(context.Background()))
	assert.Assert(t, !writer.CheckpointDue(fx.clock))
	assert.NilError(t, fx.readToEnd(writer))
	fx.log.start = 3
	assert.DeepEqual(t, fx.startedFollower().State(), writer.State())

	fx.clock = fx.clock.Add(15*time.Minute - time.Second)
	assert.Assert(t, !writer.CheckpointDue(fx.clock))
	fx.clock = fx.clock.Add(time.Second)
	assert.Assert(t, writer.CheckpointDue(fx.clock), "a quarter of the retention has passed")
	fx.log.loseAnswer = true
	assert.Assert(t, appender.ErrUnknown.Has(writer.WriteCheckpoint(context.Background())))
	fx.log.loseAnswer = false
	assert.Assert(t, !writer.CheckpointDue(fx.clock), "the checkpoint may have been written")
	assert.NilError(t, fx.readToEnd(writer))
	fx.clock = fx.clock.Add(5 * time.Minute)
	assert.Assert(t, !writer.CheckpointDue(fx.clock), "the checkpoint was written")

	fx.clock = fx.clock.Add(10 * time.Minute)
	fx.log.err = errDown
	assert.Assert(t, appender.ErrRefused.Has(writer.WriteCheckpoint(context.Background())))
	assert.Assert(t, !writer.CheckpointDue(fx.clock))
	fx.clock = fx.clock.Add(2 * time.Second)
	assert.Assert(t, writer.CheckpointDue(fx.clock), "the checkpoint was not written")
}

func TestManyChangesMakeACheckpointDue(t *testing.T) {
	fx := newFixture(t)
	fx.publish(0)
	f := fx.startedFollower()
	assert.NilError(t, f.WriteCheckpoint(context.Background()))
	assert.NilError(t, fx.readToEnd(f))
	fx.clock = fx.clock.Add(5 * time.Minute)
	for range folder.CheckpointWindow {
		assert.Assert(t, !f.CheckpointDue(fx.clock))
		fx.publish(f.State().Version)
		assert.NilError(t, fx.readToEnd(f))
	}
	assert.Assert(t, f.CheckpointDue(fx.clock))
}

// A VM was frozen for longer than the log's retention. It keeps its configuration
// until it finds a checkpoint to continue from, and applies no record out of order.
func TestRecoversFromDroppedRecords(t *testing.T) {
	fx := newFixture(t)
	fx.publish(0)
	frozen, peer := fx.startedFollower(), fx.startedFollower()
	fx.publish(1)
	fx.publish(2)
	assert.NilError(t, fx.readToEnd(peer))
	fx.log.start = 3
	assert.NilError(t, fx.readToEnd(frozen))
	assert.Equal(t, frozen.State().Version, uint64(1))
	assertReady(t, frozen, true, "the log dropped records after 1 unread")
	assert.Assert(t, !frozen.CheckpointDue(fx.clock), "its checkpoint would be outdated")
	assert.NilError(t, peer.WriteCheckpoint(context.Background()))
	fx.takeOut("b")
	assert.NilError(t, fx.readToEnd(frozen))
	assert.NilError(t, fx.readToEnd(peer))
	assert.DeepEqual(t, frozen.State(), peer.State())
	assertReady(t, frozen, true, "")
}

// All VMs were replaced and every record of the configuration has expired. No VM may
// invent a configuration; an operator publishes it again with --anew.
func TestNoConfigurationLeftInTheLog(t *testing.T) {
	fx := newFixture(t)
	fx.publish(0)
	fx.publish(1)
	fx.log.start = 2
	f := fx.startedFollower()
	assertReady(t, f, false, "neither the log has a checkpoint nor a peer a state")
	fx.publish(2)
	assert.NilError(t, fx.readToEnd(f))
	assertReady(t, f, false, "publish anew")
	fx.append(recorder.KindPublish, recorder.Publish{
		Base: fx.log.end(), Anew: true, Manifest: []byte("zones = ['a']"), Who: "kim", ID: "anew",
	})
	assert.NilError(t, fx.readToEnd(f))
	assertReady(t, f, true, "")
	assert.Equal(t, f.State().Version, uint64(4))
}

// The log was lost and starts again at offset 1. Its records would be mistaken for
// later ones, so none is applied and the reason is reported to the operator.
func TestTruncatedLogIsNotApplied(t *testing.T) {
	fx := newFixture(t)
	fx.publish(0)
	fx.takeOut("a")
	f := fx.startedFollower()
	before := f.State()
	fx.log.records = nil
	fx.publish(0)
	assert.ErrorContains(t, fx.readToEnd(f), "it ends at 2, and 2 has been read")
	assertReady(t, f, true, "it ends at 2, and 2")
	assert.Assert(t, !f.CheckpointDue(fx.clock), "its offsets no longer match the log")
	assert.DeepEqual(t, f.State(), before)
}

// The stream contains malformed records and a checkpoint that contradicts the folded
// state. They must not stop a VM or change its configuration.
func TestMalformedRecordsAreIgnored(t *testing.T) {
	fx := newFixture(t)
	fx.publish(0)
	f := fx.startedFollower()
	fx.append("later", 5)
	fx.append(recorder.KindCheckpoint, "x")
	fx.append(recorder.KindCheckpoint, recorder.Checkpoint{LastOffset: 3})
	_, err := fx.log.Append(context.Background(), recorder.ConfigStream, []byte("\xffhello"))
	assert.NilError(t, err)
	assert.NilError(t, fx.readToEnd(f))
	assert.Equal(t, f.State().Version, uint64(1))
	assert.Assert(t, f.CheckpointDue(fx.clock), "a contradicting checkpoint was accepted")
	fx.takeOut("a")
	assert.NilError(t, fx.readToEnd(f))
	assert.Assert(t, f.State().IsOut(recorder.TargetZone, "a"))
	assertReady(t, f, true, "")
}

// The log is down, or returns empty responses without waiting. Polled without a
// pause by all VMs, it would be overloaded when it recovers.
func TestRunWaitsBetweenReadsAndStopsWithContext(t *testing.T) {
	for name, down := range map[string]error{"down": errDown, "does not wait": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t)
				fx.log.err = down
				ctx, cancel := context.WithCancel(t.Context())
				clock := ticker.New(fx.now, time.Second)
				f := follower.New(fx.log, clock, metrics.NewRegistry(), zerolog.Nop())
				ended := make(chan struct{})
				go func() {
					f.Run(ctx)
					close(ended)
				}()
				synctest.Wait()
				assert.Equal(t, fx.log.reads, 1)
				fx.clock = fx.clock.Add(time.Second)
				clock.Tick()
				synctest.Wait()
				assert.Equal(t, fx.log.reads, 2)
				cancel()
				<-ended
			})
		})
	}
}
