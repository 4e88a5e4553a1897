package replicator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/replicator"
)

var now = time.Unix(1_000_000, 0)

// at returns a position whose era is unknown.
func at(offset int64) replicator.Position { return replicator.Position{Offset: offset} }

// Records arrive from the platform and from peers in any order, more than once, and
// from reads that are seconds old. A VM that replaced a record with an older one
// would accept a key that was revoked.
func TestCopiesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seen := map[string]int64{}
		c := replicator.New(func(rs []replicator.Record, _ time.Duration) {
			for _, r := range rs {
				if r.Offset <= seen[r.Key] {
					t.Fatalf("%s went back from offset %d to %d", r.Key, seen[r.Key], r.Offset)
				}
				seen[r.Key] = r.Offset
			}
		})
		newest := map[string]int64{}
		for range rapid.IntRange(1, 30).Draw(t, "readings") {
			var rs []replicator.Record
			end := int64(0)
			for range rapid.IntRange(0, 5).Draw(t, "records") {
				r := replicator.Record{
					Key:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
					Offset:  rapid.Int64Range(1, 40).Draw(t, "offset"),
					Deleted: rapid.SampledFrom([]bool{true, false}).Draw(t, "dropped"),
				}
				rs = append(rs, r)
				newest[r.Key] = max(newest[r.Key], r.Offset)
				end = max(end, r.Offset+1)
			}
			c.Merge(rs, at(end), now)
		}
		for key, offset := range newest {
			if seen[key] != offset {
				t.Fatalf("%s is at offset %d, want %d", key, seen[key], offset)
			}
		}
	})
}

// The platform discards old records, including those of deletions. Only a full read
// then shows that a key was deleted, because the key is missing from it.
func TestSnapshotDeletesMissingKeys(t *testing.T) {
	deleted := map[string]bool{}
	c := replicator.New(func(rs []replicator.Record, _ time.Duration) {
		for _, r := range rs {
			deleted[r.Key] = r.Deleted
		}
	})
	c.Merge([]replicator.Record{{Key: "a", Offset: 1}, {Key: "b", Offset: 2}}, at(3), now)
	c.Merge([]replicator.Record{{Key: "new", Offset: 12}}, at(0), now)
	c.MergeSnapshot([]replicator.Record{{Key: "b", Offset: 2}}, at(10), now)
	assert.DeepEqual(t, deleted, map[string]bool{"a": true, "b": false, "new": false})
	end, asOf := c.End()
	assert.Equal(t, end, at(10))
	assert.Equal(t, asOf, now)
}

// A peer gets the records it lacks together with their age, so that records passed
// from VM to VM do not appear fresher each time.
func TestSinceReturnsRecordsFromOffset(t *testing.T) {
	c := replicator.New(func([]replicator.Record, time.Duration) {})
	c.Merge([]replicator.Record{{Key: "a", Offset: 1}, {Key: "b", Offset: 5}}, at(6), now)
	p := c.Since(at(2))
	assert.Equal(t, len(p.Records), 1)
	assert.Equal(t, p.Records[0].Key, "b")
	assert.Equal(t, p.End, at(6))
	assert.Equal(t, p.AsOf, now)
	assert.Assert(t, !p.Snapshot)
	c.Merge(nil, at(4), now.Add(time.Second))
	_, asOf := c.End()
	assert.Equal(t, asOf, now, "an older end is no confirmation")
}

// A record that was deleted while no VM could read the platform was not seen to go.
// Its consumer must know how long that interval was. A record that arrives soon after
// the first read is an ordinary update again.
func TestGapIsTheTimeWithoutAnswers(t *testing.T) {
	var gaps []time.Duration
	c := replicator.New(func(_ []replicator.Record, gap time.Duration) { gaps = append(gaps, gap) })
	c.Merge([]replicator.Record{{Key: "a", Offset: 1}}, at(2), now)
	c.Merge(nil, at(2), now.Add(time.Second))
	c.Merge([]replicator.Record{{Key: "a", Offset: 2}}, at(3), now.Add(6*time.Second))
	c.Merge([]replicator.Record{{Key: "a", Offset: 3}}, at(4), now.Add(7*time.Second))
	assert.DeepEqual(t, gaps, []time.Duration{0, 5 * time.Second, time.Second})
}

// A VM that has just started has read all existing keys, but has never seen the entry
// that was deleted a moment before. A peer that merged its records incrementally
// would keep sending requests to an upstream that is gone.
func TestNewCopyReturnsSnapshots(t *testing.T) {
	deleted := map[string]bool{}
	old := replicator.New(func(rs []replicator.Record, _ time.Duration) {
		for _, r := range rs {
			deleted[r.Key] = r.Deleted
		}
	})
	old.MergeSnapshot([]replicator.Record{{Key: "a", Offset: 1}, {Key: "gone", Offset: 2}}, at(3), now)
	fresh := replicator.New(func([]replicator.Record, time.Duration) {})
	fresh.MergeSnapshot([]replicator.Record{{Key: "a", Offset: 1}}, at(4), now.Add(time.Second))
	page := fresh.Since(at(3))
	assert.Assert(t, page.Snapshot)
	old.MergePage(page)
	assert.DeepEqual(t, deleted, map[string]bool{"a": false, "gone": true})
	end, _ := old.End()
	assert.Equal(t, end, at(4))
	old.Merge([]replicator.Record{{Key: "b", Offset: 4}}, at(5), now.Add(2*time.Second))
	assert.Assert(t, !old.Since(at(4)).Snapshot, "nothing is missing from this offset on")
}

// Copies that read the platform, read each other, restart and fall behind, in any
// order, hold the platform's records once they have reached its end.
func TestCopiesThatReadEachOtherAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []replicator.Record
		newest := func() (rs []replicator.Record) {
			last := map[string]replicator.Record{}
			for _, r := range log {
				last[r.Key] = r
			}
			for _, r := range last {
				if !r.Deleted {
					rs = append(rs, r)
				}
			}
			return rs
		}
		const vms = 4
		var copies [vms]*replicator.Copy
		var has [vms]map[string]bool
		start := func(i int) {
			held := map[string]bool{}
			has[i] = held
			copies[i] = replicator.New(func(rs []replicator.Record, _ time.Duration) {
				for _, r := range rs {
					held[r.Key] = !r.Deleted
				}
			})
			copies[i].MergeSnapshot(newest(), at(int64(len(log))), now)
		}
		for i := range copies {
			start(i)
		}
		for range rapid.IntRange(40, 120).Draw(t, "steps") {
			i := rapid.SampledFrom([]int{0, 1, 2, 3}).Draw(t, "vm")
			switch rapid.SampledFrom([]int{0, 1, 2, 3}).Draw(t, "step") {
			case 0:
				log = append(log, replicator.Record{
					Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), Offset: int64(len(log)), Deleted: rapid.SampledFrom([]bool{true, false}).Draw(t, "dropped"),
				})
			case 1:
				end, _ := copies[i].End()
				copies[i].Merge(log[end.Offset:], at(int64(len(log))), now)
			case 2:
				end, _ := copies[i].End()
				from := copies[rapid.SampledFrom([]int{0, 1, 2, 3}).Draw(t, "from")]
				if ahead, _ := from.End(); ahead.IsAheadOf(end) {
					copies[i].MergePage(from.Since(end))
				}
			case 3:
				start(i)
			}
		}
		for i, c := range copies {
			if end, _ := c.End(); end != at(int64(len(log))) {
				continue
			}
			want := map[string]bool{}
			for _, r := range newest() {
				want[r.Key] = true
			}
			for key, holds := range has[i] {
				if holds != want[key] {
					t.Fatalf("copy %d holds %s: %v, the platform %v", i, key, holds, want[key])
				}
			}
			for key := range want {
				if !has[i][key] {
					t.Fatalf("copy %d lacks %s", i, key)
				}
			}
		}
	})
}
