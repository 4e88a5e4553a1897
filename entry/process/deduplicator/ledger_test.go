package deduplicator_test

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/deduplicator"
	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/recorder"
)

var start = time.UnixMilli(1_800_000_000_000)

// keyMade returns a UUID of version 7 made at a time; n tells keys apart.
func keyMade(at time.Time, n int) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], uint64(n))
	id[6] = 0x70
	id[8] = 0x80
	return id.String()
}

func attempt(vm string, seq uint64) recorder.Attempt {
	return recorder.Attempt{VM: vm, Boot: 1, Seq: seq}
}

func intent(key byte, a recorder.Attempt) recorder.CallEntry {
	return recorder.CallEntry{Key: recorder.Hash{key}, Attempt: a, Intent: &recorder.Intent{Print: recorder.Hash{9}}}
}

func outcome(a recorder.Attempt, status int) recorder.CallEntry {
	return recorder.CallEntry{Key: recorder.Hash{1}, Attempt: a, Outcome: &recorder.Outcome{Status: status}}
}

func abandon(a recorder.Attempt) recorder.CallEntry {
	return recorder.CallEntry{Key: recorder.Hash{1}, Attempt: a, Abandon: true}
}

// batch is a read of records that start at an offset, one second apart.
func batch(t *testing.T, from uint64, list ...recorder.CallEntry) appender.Batch {
	t.Helper()
	b := appender.Batch{Start: from, End: from + uint64(len(list))}
	for i, e := range list {
		data, err := recorder.Wrap(recorder.KindCalls, recorder.CallBatch{Calls: []recorder.CallEntry{e}})
		assert.NilError(t, err)
		b.Records = append(b.Records, appender.Record{
			Offset: from + uint64(i), At: start.Add(time.Duration(i) * time.Second), Data: data,
		})
	}
	return b
}

func TestLedger(t *testing.T) {
	a, b, c := attempt("a", 1), attempt("b", 1), attempt("c", 1)
	tests := []struct {
		name    string
		entries []recorder.CallEntry
		want    deduplicator.Standing
		winner  recorder.Attempt
		a, b    deduplicator.Standing
	}{
		{"nothing", nil, deduplicator.Free, recorder.Attempt{}, deduplicator.Free, deduplicator.Free},
		{"first wins", []recorder.CallEntry{intent(1, a), intent(1, b)}, deduplicator.Claimed, a, deduplicator.Won, deduplicator.Lost},
		{"twice is once", []recorder.CallEntry{intent(1, a), intent(1, a)}, deduplicator.Claimed, a, deduplicator.Won, deduplicator.Free},
		{"settled", []recorder.CallEntry{intent(1, a), outcome(a, 200)}, deduplicator.Settled, a, deduplicator.Won, deduplicator.Free},
		{"first word stands", []recorder.CallEntry{intent(1, a), outcome(a, 200), outcome(a, 500), abandon(a)}, deduplicator.Settled, a, deduplicator.Won, deduplicator.Free},
		{"loser's outcome", []recorder.CallEntry{intent(1, a), intent(1, b), outcome(b, 500)}, deduplicator.Claimed, a, deduplicator.Won, deduplicator.Lost},
		{"abandoned", []recorder.CallEntry{intent(1, a), abandon(a)}, deduplicator.Free, recorder.Attempt{}, deduplicator.Lost, deduplicator.Free},
		{"second stays dead", []recorder.CallEntry{intent(1, a), intent(1, b), abandon(a)}, deduplicator.Free, recorder.Attempt{}, deduplicator.Lost, deduplicator.Lost},
		{"second lands again", []recorder.CallEntry{intent(1, a), intent(1, b), abandon(a), intent(1, b)}, deduplicator.Free, recorder.Attempt{}, deduplicator.Lost, deduplicator.Lost},
		{"next may win", []recorder.CallEntry{intent(1, a), abandon(a), intent(1, c)}, deduplicator.Claimed, c, deduplicator.Lost, deduplicator.Free},
		{"abandoned before it lands", []recorder.CallEntry{abandon(a), intent(1, a)}, deduplicator.Free, recorder.Attempt{}, deduplicator.Lost, deduplicator.Free},
		{"outcome without intent", []recorder.CallEntry{outcome(a, 200), intent(1, b)}, deduplicator.Settled, a, deduplicator.Won, deduplicator.Lost},
		{"another key", []recorder.CallEntry{intent(2, a)}, deduplicator.Free, recorder.Attempt{}, deduplicator.Free, deduplicator.Free},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := deduplicator.NewLedger(time.Hour)
			_, skipped := l.Read(batch(t, 1, test.entries...), start)
			assert.Equal(t, skipped, 0)
			v := l.Judge(recorder.Hash{1}, recorder.Hash{9})
			assert.Equal(t, v.Standing, test.want)
			assert.Equal(t, v.Winner, test.winner)
			assert.Equal(t, l.Decide(recorder.Hash{1}, a), test.a)
			assert.Equal(t, l.Decide(recorder.Hash{1}, b), test.b)
		})
	}
}

func TestMismatch(t *testing.T) {
	l := deduplicator.NewLedger(time.Hour)
	l.Read(batch(t, 1, intent(1, attempt("a", 1))), start)
	assert.Equal(t, l.Judge(recorder.Hash{1}, recorder.Hash{8}).Standing, deduplicator.Mismatch)
}

func TestForgets(t *testing.T) {
	l := deduplicator.NewLedger(2500 * time.Millisecond)
	a := attempt("a", 1)
	l.Read(batch(t, 1, intent(1, a), intent(2, a), intent(3, a)), start)
	assert.Equal(t, l.Judge(recorder.Hash{1}, recorder.Hash{9}).Standing, deduplicator.Claimed)
	l.Apply(start.Add(2600*time.Millisecond), recorder.CallBatch{})
	assert.Equal(t, l.Judge(recorder.Hash{1}, recorder.Hash{9}).Standing, deduplicator.Free)
	assert.Equal(t, l.Judge(recorder.Hash{2}, recorder.Hash{9}).Standing, deduplicator.Claimed)
}

// Operators lengthen the window. Keys that were forgotten under the old one don't
// come back, so for a while they must not pass for new.
func TestLongerWindow(t *testing.T) {
	l := deduplicator.NewLedger(time.Minute)
	l.Keep(time.Hour) // nothing read yet, nothing forgotten
	assert.Assert(t, l.Since().IsZero())
	l.Keep(time.Minute)
	l.Apply(start, recorder.CallBatch{Calls: []recorder.CallEntry{intent(1, attempt("a", 1))}})
	l.Apply(start.Add(2*time.Minute), recorder.CallBatch{})
	l.Keep(time.Hour)
	assert.Assert(t, l.Since().Equal(start.Add(time.Minute)), "%s", l.Since())
}

// The log forgets, or loses its end, before a VM has read it. A key used in
// what is missing must not pass for new.
func TestNotesWhatItMissed(t *testing.T) {
	now := start.Add(time.Hour)
	other, err := recorder.Encode([]any{2, "calls", map[string]int{}})
	assert.NilError(t, err)
	tests := []struct {
		name  string
		reads func(l *deduplicator.Ledger)
		since time.Time
	}{
		{"all read", func(l *deduplicator.Ledger) { l.Read(batch(t, 1, intent(1, attempt("a", 1))), now) }, time.Time{}},
		{"dropped before the start", func(l *deduplicator.Ledger) { l.Read(batch(t, 5, intent(1, attempt("a", 1))), now) }, start},
		{"all dropped", func(l *deduplicator.Ledger) { l.Read(appender.Batch{Start: 5, End: 5}, now) }, now},
		{"fell behind", func(l *deduplicator.Ledger) {
			l.Read(batch(t, 1, intent(1, attempt("a", 1))), now)
			l.Read(batch(t, 9, intent(1, attempt("a", 1))), now)
		}, start},
		{"went back", func(l *deduplicator.Ledger) {
			l.Read(batch(t, 1, intent(1, attempt("a", 1)), intent(1, attempt("a", 2))), now)
			l.Read(appender.Batch{Start: 1, End: 2}, now)
		}, now},
		{"later version", func(l *deduplicator.Ledger) {
			l.Read(appender.Batch{Start: 1, End: 2, Records: []appender.Record{{Offset: 1, At: now, Data: other}}}, now)
		}, now},
		{"broken record", func(l *deduplicator.Ledger) {
			l.Read(appender.Batch{Start: 1, End: 2, Records: []appender.Record{{Offset: 1, At: now, Data: []byte("x")}}}, now)
		}, time.Time{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := deduplicator.NewLedger(24 * time.Hour)
			test.reads(l)
			assert.Assert(t, l.Since().Equal(test.since), "%s", l.Since())
		})
	}
}

func TestCheck(t *testing.T) {
	l := deduplicator.Limits{Window: time.Hour, MaxClockSkew: time.Minute}
	now := start
	since := now.Add(-30 * time.Minute)
	fresh := keyMade(now, 1)
	tests := []struct {
		name, key string
		dated     bool
		since     time.Time
		fails     interface{ Has(error) bool }
	}{
		{"fresh", fresh, true, time.Time{}, nil},
		{"any form", "booking 1", false, time.Time{}, nil},
		{"not a UUID", "booking 1", true, time.Time{}, &deduplicator.ErrForm},
		{"version 4", "f47ac10b-58cc-4372-a567-0e02b2c3d479", true, time.Time{}, &deduplicator.ErrForm},
		{"other form of a UUID", "{" + fresh + "}", true, time.Time{}, &deduplicator.ErrForm},
		{"just in the window", keyMade(now.Add(-time.Hour), 1), true, time.Time{}, nil},
		{"old", keyMade(now.Add(-time.Hour-time.Millisecond), 1), true, time.Time{}, &deduplicator.ErrOld},
		{"a little ahead", keyMade(now.Add(time.Minute), 1), true, time.Time{}, nil},
		{"far ahead", keyMade(now.Add(time.Minute+time.Millisecond), 1), true, time.Time{}, &deduplicator.ErrFuture},
		{"after what was missed", keyMade(since.Add(3*time.Minute), 1), true, since, nil},
		{"perhaps among what was missed", keyMade(since.Add(2*time.Minute), 1), true, since, &deduplicator.ErrMissed},
		{"any form, missed", "booking 1", false, since, &deduplicator.ErrMissed},
		{"any form, missed long ago", "booking 1", false, now.Add(-63 * time.Minute), nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := l.Check(test.key, test.dated, test.since, now)
			if test.fails == nil {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, test.fails.Has(err), "%v", err)
		})
	}
}

// A VM appends its intent and is frozen. Meanwhile the log drops records, the
// first intent of the key among them. The VM wakes and reads its own as the
// first; were it to send, the member would have two bookings.
func TestWakesAfterRecordsWereDropped(t *testing.T) {
	limits := deduplicator.Limits{Window: time.Hour, MaxClockSkew: time.Second}
	l := deduplicator.NewLedger(limits.Keep())
	l.Read(batch(t, 1), start)
	a := attempt("a", 1)
	l.Read(batch(t, 3, intent(1, a)), start.Add(time.Minute))
	assert.Equal(t, l.Decide(recorder.Hash{1}, a), deduplicator.Won)
	err := limits.Check(keyMade(start, 1), true, l.Since(), start.Add(time.Minute))
	assert.Assert(t, deduplicator.ErrMissed.Has(err), "%v", err)
}

func FuzzLedger(f *testing.F) {
	data, err := recorder.Wrap(recorder.KindCalls, recorder.CallBatch{Calls: []recorder.CallEntry{
		intent(1, attempt("a", 1)), outcome(attempt("a", 1), 200), abandon(attempt("b", 1)),
	}})
	assert.NilError(f, err)
	f.Add(data, data)
	f.Fuzz(func(t *testing.T, one, two []byte) {
		a, b := attempt("a", 1), attempt("b", 2)
		l := deduplicator.NewLedger(time.Hour)
		l.Read(batch(t, 1, intent(1, a)), start)
		l.Read(appender.Batch{Start: 1, End: 4, Records: []appender.Record{
			{Offset: 2, At: start, Data: one}, {Offset: 3, At: start, Data: two},
		}}, start)
		assert.Equal(t, l.Next(), uint64(4))
		// Whatever the records say, not two attempts hold one key.
		won := l.Decide(recorder.Hash{1}, a) == deduplicator.Won && l.Decide(recorder.Hash{1}, b) == deduplicator.Won
		assert.Assert(t, !won, "%x %x", one, two)
	})
}
