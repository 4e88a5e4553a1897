package replicator_test

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/replicator"
)

const retention = 10 * time.Second

// in returns a position in an era.
func in(era, offset int64) replicator.Position {
	return replicator.Position{Era: era, Offset: offset}
}

func value(r replicator.Record) int {
	n, err := strconv.Atoi(string(r.Value))
	if err != nil {
		return -1
	}
	return n
}

// A store is a platform that can be restored from a backup.
type store struct {
	era     int64
	log     []replicator.Record
	written int
	// backup is the number of records that the backup holds, and lost the newest
	// records of the keys that a restore took from the log and that were not written
	// again.
	backup int
	lost   map[string]replicator.Record
}

func (s *store) end() replicator.Position { return in(s.era, int64(len(s.log))) }

// put writes a value that is higher than all before, or deletes the key.
func (s *store) put(key string, deleted bool) {
	s.written++
	r := replicator.Record{Key: key, Value: []byte(strconv.Itoa(s.written)), Deleted: deleted}
	if deleted {
		r.Value = nil
	}
	s.append(r)
}

func (s *store) append(r replicator.Record) {
	delete(s.lost, r.Key)
	r.Era, r.Offset = s.era, int64(len(s.log))
	s.log = append(s.log, r)
}

func (s *store) restore() {
	lost := s.log[s.backup:]
	s.log, s.era = slices.Clone(s.log[:s.backup]), s.era+1
	for i := range s.log {
		s.log[i].Era = s.era
	}
	for _, r := range lost {
		s.lost[r.Key] = r
	}
}

// writeAgain writes what a restore has taken.
func (s *store) writeAgain() {
	for _, key := range slices.Sorted(maps.Keys(s.lost)) {
		s.append(s.lost[key])
	}
}

func (s *store) newest() (rs []replicator.Record) {
	last := map[string]replicator.Record{}
	for _, r := range s.log {
		last[r.Key] = r
	}
	for _, r := range last {
		if !r.Deleted {
			rs = append(rs, r)
		}
	}
	return rs
}

// read has a copy read the platform as a VM does: from its end if the platform has that,
// otherwise in full.
func (s *store) read(c *replicator.Copy, asOf time.Time) {
	end, _ := c.End()
	if end.Era != s.era || end.Offset > int64(len(s.log)) {
		c.MergeSnapshot(s.newest(), s.end(), asOf)
		return
	}
	c.Merge(s.log[end.Offset:], s.end(), asOf)
}

func newRestorableCopy(onChange func(r replicator.Record)) *replicator.Copy {
	c := replicator.New(func(rs []replicator.Record, _ time.Duration) {
		for _, r := range rs {
			onChange(r)
		}
	})
	c.SetRestorePolicy(replicator.RestorePolicy{
		Retention: retention, IsOlder: func(a, b replicator.Record) bool { return value(a) < value(b) },
	})
	return c
}

// The platform is restored from backups again and again, while copies read it and each
// other, lag behind and restart. A value that was written again, or that the backup has,
// must never give way to an older one, and in the end all copies hold what the platform
// holds. Without eras, records whose offsets are given out again would be taken for old.
func TestCopiesFollowARestoredPlatform(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms = 4
		s := &store{era: 1, lost: map[string]replicator.Record{}}
		s.put("config", false)
		var copies [vms]*replicator.Copy
		var held [vms]map[string]int
		start := func(i int) {
			has := map[string]int{}
			held[i] = has
			copies[i] = newRestorableCopy(func(r replicator.Record) {
				if r.Key == "config" && value(r) < has["config"] {
					t.Fatalf("copy %d went back from value %d to %d", i, has["config"], value(r))
				}
				if has[r.Key] = value(r); r.Deleted {
					delete(has, r.Key)
				}
			})
		}
		for i := range copies {
			start(i)
		}
		keys := []string{"a", "b", "c"}
		for range rapid.IntRange(30, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, vms-1).Draw(t, "vm")
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				s.put("config", false)
			case 1:
				s.put(rapid.SampledFrom(keys).Draw(t, "key"), rapid.Bool().Draw(t, "deleted"))
			case 2:
				s.backup = len(s.log)
			case 3:
				if s.backup > 0 && s.backup <= len(s.log) {
					s.restore()
				}
			case 4:
				s.writeAgain()
			case 5, 6:
				s.read(copies[i], now)
			case 7:
				end, _ := copies[i].End()
				from := copies[rapid.IntRange(0, vms-1).Draw(t, "from")]
				if ahead, _ := from.End(); ahead.IsAheadOf(end) {
					copies[i].MergePage(from.Since(end))
				}
			case 8:
				start(i)
			}
		}
		s.writeAgain()
		for i, c := range copies {
			s.read(c, now.Add(time.Second))
			s.read(c, now.Add(2*retention))
			c.ExpireLost()
			want := map[string]int{}
			for _, r := range s.newest() {
				want[r.Key] = value(r)
			}
			assert.DeepEqual(t, held[i], want)
		}
	})
}

// The backup lacks a key that nobody writes again. It is kept for a while, in case its
// writer is late, and not while the platform confirms nothing to this VM.
func TestLostRecordsExpireUnlessTheyAreWrittenAgain(t *testing.T) {
	held := map[string]int{}
	c := newRestorableCopy(func(r replicator.Record) {
		if held[r.Key] = value(r); r.Deleted {
			delete(held, r.Key)
		}
	})
	record := func(key string, v int, at replicator.Position) replicator.Record {
		return replicator.Record{Key: key, Value: []byte(strconv.Itoa(v)), Era: at.Era, Offset: at.Offset}
	}
	c.MergeSnapshot([]replicator.Record{record("a", 1, in(1, 0)), record("b", 7, in(1, 5)), record("c", 3, in(1, 6))}, in(1, 7), now)
	c.MergeSnapshot([]replicator.Record{record("b", 5, in(2, 1))}, in(2, 2), now.Add(time.Second))
	assert.DeepEqual(t, held, map[string]int{"a": 1, "b": 7, "c": 3})
	end, _ := c.End()
	assert.Equal(t, end, in(2, 2))
	c.Merge([]replicator.Record{record("c", 3, in(2, 2))}, in(2, 3), now.Add(2*time.Second))
	assert.Equal(t, c.ExpireLost(), 0, "the retention is not over")
	page := c.Since(in(1, 7))
	assert.Assert(t, page.Snapshot)
	assert.Equal(t, len(page.Records), 4, "VMs that start get what may be written again, and what the platform has")
	c.Merge(nil, in(2, 3), now.Add(2*retention))
	assert.Equal(t, c.ExpireLost(), 2)
	assert.DeepEqual(t, held, map[string]int{"b": 5, "c": 3})
	assert.Equal(t, c.ExpireLost(), 0)
}

// A VM of a build that does not know of eras sends records without one. Once the platform
// has been restored, their offsets cannot be compared with those of the new era.
func TestRecordsWithoutAnEraAreIgnoredAfterARestore(t *testing.T) {
	c := replicator.New(func([]replicator.Record, time.Duration) {})
	old := []replicator.Record{{Key: "a", Offset: 3}}
	c.Merge(old, at(4), now)
	c.MergeSnapshot([]replicator.Record{{Key: "a", Era: 2, Offset: 3}}, in(2, 4), now)
	assert.Equal(t, c.Merge([]replicator.Record{{Key: "b", Offset: 4}}, at(5), now), 1, "the era has only become known")
	c.MergeSnapshot([]replicator.Record{{Key: "a", Era: 3, Offset: 1}}, in(3, 2), now)
	assert.Equal(t, c.Merge([]replicator.Record{{Key: "c", Offset: 9}}, at(10), now), 0)
	assert.Equal(t, c.MergeSnapshot(nil, at(10), now), 0)
	end, _ := c.End()
	assert.Equal(t, end, in(3, 2))
}
