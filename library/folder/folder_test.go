package folder_test

import (
	"fmt"
	"maps"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/checker"
	"github.com/heathervane/heathervane/library/folder"
	"github.com/heathervane/heathervane/library/recorder"
)

func wrap[T any](t assert.TestingT, kind string, v T) []byte {
	data, err := recorder.Wrap(kind, v)
	assert.NilError(t, err)
	return data
}

func manifest(seats int) []byte {
	return fmt.Appendf(nil, "seats = %d\nzones = ['a', 'b']\n[services.s]\n[upstreams.u]\nservice = 's'\n"+
		"address = '10.0.0.1:80'\nzone = 'a'\nslots = 4\n", seats)
}

func publish(t assert.TestingT, base uint64, id string) []byte {
	return wrap(t, recorder.KindPublish, recorder.Publish{Base: base, Manifest: manifest(3), Who: "kim", ID: id})
}

func packed(t assert.TestingT, source []byte) []byte {
	data, err := recorder.Compress(source)
	assert.NilError(t, err)
	return wrap(t, recorder.KindPublish, recorder.Publish{Manifest: data, Who: "kim", ID: "p"})
}

func order(t assert.TestingT, kind recorder.Target, name string, out bool, id string) []byte {
	return wrap(t, recorder.KindOrder, recorder.Order{Kind: kind, Name: name, Out: out, Who: "kim", ID: id})
}

// fold applies records, starting at offset 1.
func fold(records ...[]byte) (folder.State, folder.Verdict) {
	var s folder.State
	var v folder.Verdict
	for i, data := range records {
		s, v = folder.Apply(s, folder.Record{Offset: uint64(i + 1), At: time.UnixMilli(int64(i)), Data: data})
	}
	return s, v
}

func TestVerdicts(t *testing.T) {
	first := publish(t, 0, "p1")
	zoneOut := order(t, recorder.TargetZone, "a", true, "o1")
	for _, c := range []struct {
		name    string
		records [][]byte
		outcome folder.Outcome
		reason  string
		version uint64
	}{
		{"first publish", [][]byte{first}, folder.Accepted, "", 1},
		{"next publish", [][]byte{first, publish(t, 1, "p2")}, folder.Accepted, "", 2},
		{"racing publish", [][]byte{first, publish(t, 1, "p2"), publish(t, 1, "p3")}, folder.Refused, "it builds on version 1, and version 2 is in force", 2},
		{"base ahead", [][]byte{publish(t, 7, "p1")}, folder.Refused, "it builds on version 7", 0},
		{"the same record twice", [][]byte{first, first}, folder.Ignored, folder.ReasonDuplicate, 1},
		{"findings", [][]byte{wrap(t, recorder.KindPublish, recorder.Publish{Manifest: []byte("seats = 0"), Who: "kim", ID: "p"})}, folder.Refused, "1 findings, first seats: is 0", 0},
		{"empty manifest", [][]byte{wrap(t, recorder.KindPublish, recorder.Publish{Who: "kim", ID: "p"})}, folder.Refused, "1 findings, first line 1: is empty", 0},
		{"packed", [][]byte{packed(t, manifest(2))}, folder.Accepted, "", 1},
		{"packed badly", [][]byte{wrap(t, recorder.KindPublish, recorder.Publish{Manifest: []byte("\x1f\x8b\b\x00"), Who: "kim", ID: "p"})}, folder.Refused, "can't be unpacked", 0},
		{"unpacks to gigabytes", [][]byte{packed(t, make([]byte, checker.MaxBytes+1))}, folder.Refused, "it unpacks to more than is allowed", 0},
		{"too long", [][]byte{wrap(t, recorder.KindPublish, recorder.Publish{Manifest: make([]byte, recorder.MaxManifest+1), Who: "kim", ID: "p"})}, folder.Refused, "takes 786433 bytes packed", 0},
		{"nobody", [][]byte{wrap(t, recorder.KindPublish, recorder.Publish{Manifest: manifest(1), ID: "p"})}, folder.Ignored, folder.ReasonMalformed, 0},
		{"forged line", [][]byte{wrap(t, recorder.KindPublish, recorder.Publish{Manifest: manifest(1), Who: "kim\nlee", ID: "p"})}, folder.Ignored, folder.ReasonMalformed, 0},
		{"bytes", [][]byte{first, []byte("\xff\x00hello")}, folder.Ignored, folder.ReasonMalformed, 1},
		{"empty", [][]byte{first, nil}, folder.Ignored, folder.ReasonMalformed, 1},
		{"unknown kind", [][]byte{first, wrap(t, "later", 5)}, folder.Ignored, `the kind "later" is not known`, 1},
		{"wrong body", [][]byte{wrap(t, recorder.KindPublish, "x")}, folder.Ignored, folder.ReasonMalformed, 0},
		{"checkpoint", [][]byte{first, wrap(t, recorder.KindCheckpoint, recorder.Checkpoint{})}, folder.Ignored, folder.ReasonCheckpoint, 1},
		{"zone out", [][]byte{first, zoneOut}, folder.Accepted, "", 1},
		{"zone unknown", [][]byte{first, order(t, recorder.TargetZone, "c", true, "o")}, folder.Refused, "zone c: is not in the manifest in force", 1},
		{"zone without manifest", [][]byte{zoneOut}, folder.Refused, "is not in the manifest", 0},
		{"upstream hint", [][]byte{first, order(t, recorder.TargetUpstream, "v", true, "o")}, folder.Refused, "did you mean u?", 1},
		{"VM out", [][]byte{order(t, recorder.TargetVM, "entry-1", true, "o")}, folder.Accepted, "", 0},
		{"in without out", [][]byte{first, order(t, recorder.TargetZone, "a", false, "o")}, folder.Accepted, "", 1},
		{"unknown target", [][]byte{order(t, "rack", "r", true, "o")}, folder.Ignored, folder.ReasonMalformed, 0},
		{"bad name", [][]byte{order(t, recorder.TargetVM, "Entry 1", true, "o")}, folder.Ignored, folder.ReasonMalformed, 0},
		{"anew", [][]byte{first, wrap(t, recorder.KindPublish, recorder.Publish{Base: 2, Anew: true, Manifest: manifest(4), Who: "kim", ID: "p2"})}, folder.Accepted, "", 2},
		{"anew ahead", [][]byte{first, wrap(t, recorder.KindPublish, recorder.Publish{Base: 3, Anew: true, Manifest: manifest(4), Who: "kim", ID: "p2"})}, folder.Refused, "it was written when the stream ended at 3", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, v := fold(c.records...)
			assert.Equal(t, v.Outcome, c.outcome, v.Reason)
			assert.Assert(t, strings.Contains(v.Reason, c.reason), v.Reason)
			assert.Equal(t, s.Version, c.version)
			assert.Equal(t, s.LastOffset, uint64(len(c.records)))
		})
	}
}

// The response to an append is lost, and the record is appended hours later, or
// twice. Without the check, a zone that has been returned to service since
// would go out of service again.
func TestLateOrderIsRefused(t *testing.T) {
	records := [][]byte{publish(t, 0, "p1")}
	for i := range folder.MaxAudit + 2 {
		records = append(records, order(t, recorder.TargetZone, "a", i%2 == 0, fmt.Sprint("o", i)))
	}
	old := wrap(t, recorder.KindOrder, recorder.Order{Kind: "zone", Name: "a", Out: true, Base: 2, Who: "kim", ID: "o0"})
	s, v := fold(append(records, old)...)
	assert.Equal(t, v.Outcome, folder.Refused)
	assert.Assert(t, !s.IsOut(recorder.TargetZone, "a"))
	assert.Equal(t, len(s.Audit), folder.MaxAudit)
}

// An order is appended twice, and the configuration is published anew between
// the two. This resets the audit trail, by which the duplicate would be
// recognised.
func TestOrderFromBeforeAPublishAnewIsRefused(t *testing.T) {
	out := wrap(t, recorder.KindOrder, recorder.Order{Kind: "zone", Name: "a", Out: true, Base: 2, Who: "kim", ID: "o1"})
	anew := wrap(t, recorder.KindPublish, recorder.Publish{Base: 3, Anew: true, Manifest: manifest(4), Who: "kim", ID: "p2"})
	s, v := fold(publish(t, 0, "p1"), out, anew, out)
	assert.Equal(t, v.Outcome, folder.Refused)
	assert.Assert(t, !s.IsOut(recorder.TargetZone, "a"))
	_, v = fold(publish(t, 0, "p1"), out, anew,
		wrap(t, recorder.KindOrder, recorder.Order{Kind: "zone", Name: "a", Out: true, Base: 4, Who: "kim", ID: "o2"}))
	assert.Equal(t, v.Outcome, folder.Accepted, v.Reason)
}

// A log that repeats responses or loses its end delivers old records again.
// Applying an order that has been reverted since would take a zone out of
// service that operators see in service.
func TestRepeatedAndMissingOffsetsChangeNothing(t *testing.T) {
	out := order(t, recorder.TargetZone, "a", true, "o1")
	s, _ := fold(publish(t, 0, "p1"), out, order(t, recorder.TargetZone, "a", false, "o2"))
	for offset, reason := range map[uint64]string{
		0: folder.ReasonOldOffset, 2: folder.ReasonOldOffset, 3: folder.ReasonOldOffset,
		5: folder.ReasonOffsetGap, math.MaxUint64: folder.ReasonOffsetGap,
	} {
		after, v := folder.Apply(s, folder.Record{Offset: offset, Data: out})
		assert.Equal(t, v.Outcome, folder.Ignored)
		assert.Equal(t, v.Reason, reason)
		assert.DeepEqual(t, after, s)
	}
}

func TestBootstrap(t *testing.T) {
	s, _ := fold(publish(t, 0, "p1"), order(t, recorder.TargetZone, "a", true, "o1"))
	stored := folder.NewCheckpoint(s)
	with := func(change func(*recorder.Checkpoint)) recorder.Checkpoint {
		c := stored
		c.OutOfService.Zones = maps.Clone(stored.OutOfService.Zones)
		c.Audit = append([]recorder.Change(nil), stored.Audit...)
		change(&c)
		return c
	}
	newer := folder.State{LastOffset: 2}
	for _, c := range []struct {
		name   string
		old    *folder.State
		start  uint64
		offset uint64
		record recorder.Checkpoint
		ok     bool
	}{
		{"all kept", nil, 3, 9, stored, true},
		{"one lost", nil, 4, 9, stored, false},
		{"has read as much", &newer, 3, 9, stored, false},
		{"read ahead of itself", nil, 3, 2, stored, false},
		{"version after read", nil, 3, 9, with(func(c *recorder.Checkpoint) { c.Version = 3 }), false},
		{"anew after version", nil, 3, 9, with(func(c *recorder.Checkpoint) { c.Anew = 2 }), false},
		{"version without manifest", nil, 3, 9, with(func(c *recorder.Checkpoint) { c.Manifest = nil }), false},
		{"manifest without version", nil, 3, 9, with(func(c *recorder.Checkpoint) { c.Version = 0 }), false},
		{"bad manifest", nil, 3, 9, with(func(c *recorder.Checkpoint) { c.Manifest = []byte("seats = 0") }), false},
		{"out by a later order", nil, 3, 9, with(func(c *recorder.Checkpoint) { c.OutOfService.Zones["a"] = 3 }), false},
		{"bad name out", nil, 3, 9, with(func(c *recorder.Checkpoint) { c.OutOfService.Zones["A B"] = 2 }), false},
		{"trail out of order", nil, 3, 9, with(func(c *recorder.Checkpoint) { c.Audit[1].Offset = 1 }), false},
		{"forged trail", nil, 3, 9, with(func(c *recorder.Checkpoint) { c.Audit[1].Who = "a\nb" }), false},
		{"read at the last number", nil, 3, 9, with(func(c *recorder.Checkpoint) { c.LastOffset = math.MaxUint64 }), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, ok := folder.Bootstrap(c.old, c.start, c.start, folder.Record{Offset: c.offset, Data: wrap(t, recorder.KindCheckpoint, c.record)})
			assert.Equal(t, ok, c.ok)
			if ok {
				assert.DeepEqual(t, got, s)
			}
		})
	}
}

// A checkpoint that doesn't fit into one record can't be written, and the fleet
// would lose its configuration after one retention.
func TestLargestCheckpointFitsARecord(t *testing.T) {
	c := recorder.Checkpoint{
		Version: math.MaxUint64 - 1, LastOffset: math.MaxUint64 - 1, Manifest: make([]byte, recorder.MaxManifest),
		OutOfService: recorder.OutOfService{VMs: map[string]uint64{}, Zones: map[string]uint64{}, Upstreams: map[string]uint64{}},
	}
	for i := range folder.MaxOutOfService {
		name := fmt.Sprintf("%040d", i)
		c.OutOfService.VMs[name], c.OutOfService.Zones[name], c.OutOfService.Upstreams[name] = c.LastOffset, c.LastOffset, c.LastOffset
	}
	text := func(n int) string { return strings.Repeat("x", n) }
	for range folder.MaxAudit {
		c.Audit = append(c.Audit, recorder.Change{
			Offset: c.LastOffset, At: math.MaxInt64, Who: text(64), What: text(100), Reason: text(160), Why: text(160), ID: text(64),
		})
	}
	data := wrap(t, recorder.KindCheckpoint, c)
	assert.Assert(t, len(data) <= 1<<20, "%d bytes", len(data))
}

func FuzzApply(f *testing.F) {
	example, err := os.ReadFile("../../examples/manifest.toml")
	assert.NilError(f, err)
	f.Add(wrap(f, recorder.KindPublish, recorder.Publish{Base: 1, Manifest: example, Who: "kim", ID: "p2"}))
	f.Add(packed(f, example))
	f.Add(order(f, recorder.TargetZone, "a", true, "o1"))
	base, _ := fold(publish(f, 0, "p1"))
	f.Add(wrap(f, recorder.KindCheckpoint, folder.NewCheckpoint(base)))
	f.Add(wrap(f, recorder.KindCheckpoint, recorder.Checkpoint{LastOffset: 1, OutOfService: recorder.OutOfService{VMs: map[string]uint64{}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := folder.Record{Offset: 2, Data: data}
		before := folder.NewCheckpoint(base)
		if s, ok := folder.Bootstrap(nil, 1, 1, r); ok {
			again, err := folder.Restore(folder.NewCheckpoint(s))
			assert.NilError(t, err)
			assert.DeepEqual(t, again, s)
		}
		s, v := folder.Apply(base, r)
		assert.DeepEqual(t, folder.NewCheckpoint(base), before)
		if v.Outcome == folder.Ignored {
			s.LastOffset = base.LastOffset
			assert.DeepEqual(t, s, base)
			return
		}
		again, err := folder.Restore(folder.NewCheckpoint(s))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, s)
	})
}
