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

// uuidAt returns a UUID of version 7 with the given creation time; n makes it unique.
func uuidAt(at time.Time, n int) string {
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

// batch returns a batch with one record per entry, from offset from on, one second
// apart.
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
		want    deduplicator.State
		winner  recorder.Attempt
		a, b    deduplicator.State
	}{
		{"nothing", nil, deduplicator.Free, recorder.Attempt{}, deduplicator.Free, deduplicator.Free},
		{"first wins", []recorder.CallEntry{intent(1, a), intent(1, b)}, deduplicator.Claimed, a, deduplicator.Won, deduplicator.Lost},
		{"duplicate intent", []recorder.CallEntry{intent(1, a), intent(1, a)}, deduplicator.Claimed, a, deduplicator.Won, deduplicator.Free},
		{"completed", []recorder.CallEntry{intent(1, a), outcome(a, 200)}, deduplicator.Completed, a, deduplicator.Won, deduplicator.Free},
		{"first outcome is final", []recorder.CallEntry{intent(1, a), outcome(a, 200), outcome(a, 500), abandon(a)}, deduplicator.Completed, a, deduplicator.Won, deduplicator.Free},
		{"loser's outcome", []recorder.CallEntry{intent(1, a), intent(1, b), outcome(b, 500)}, deduplicator.Claimed, a, deduplicator.Won, deduplicator.Lost},
		{"abandoned", []recorder.CallEntry{intent(1, a), abandon(a)}, deduplicator.Free, recorder.Attempt{}, deduplicator.Lost, deduplicator.Free},
		{"second attempt stays lost", []recorder.CallEntry{intent(1, a), intent(1, b), abandon(a)}, deduplicator.Free, recorder.Attempt{}, deduplicator.Lost, deduplicator.Lost},
		{"second intent appended again", []recorder.CallEntry{intent(1, a), intent(1, b), abandon(a), intent(1, b)}, deduplicator.Free, recorder.Attempt{}, deduplicator.Lost, deduplicator.Lost},
		{"next attempt wins", []recorder.CallEntry{intent(1, a), abandon(a), intent(1, c)}, deduplicator.Claimed, c, deduplicator.Lost, deduplicator.Free},
		{"abandoned before its intent", []recorder.CallEntry{abandon(a), intent(1, a)}, deduplicator.Free, recorder.Attempt{}, deduplicator.Lost, deduplicator.Free},
		{"outcome without intent", []recorder.CallEntry{outcome(a, 200), intent(1, b)}, deduplicator.Completed, a, deduplicator.Won, deduplicator.Lost},
		{"another key", []recorder.CallEntry{intent(2, a)}, deduplicator.Free, recorder.Attempt{}, deduplicator.Free, deduplicator.Free},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := deduplicator.NewLedger(time.Hour)
			_, skipped := l.ApplyRecords(batch(t, 1, test.entries...), start)
			assert.Equal(t, skipped, 0)
			v := l.Lookup(recorder.Hash{1}, recorder.Hash{9})
			assert.Equal(t, v.State, test.want)
			assert.Equal(t, v.Winner, test.winner)
			assert.Equal(t, l.AttemptState(recorder.Hash{1}, a), test.a)
			assert.Equal(t, l.AttemptState(recorder.Hash{1}, b), test.b)
		})
	}
}

func TestMismatch(t *testing.T) {
	l := deduplicator.NewLedger(time.Hour)
	l.ApplyRecords(batch(t, 1, intent(1, attempt("a", 1))), start)
	assert.Equal(t, l.Lookup(recorder.Hash{1}, recorder.Hash{8}).State, deduplicator.Mismatch)
}

func TestLedgerForgetsKeys(t *testing.T) {
	l := deduplicator.NewLedger(2500 * time.Millisecond)
	a := attempt("a", 1)
	l.ApplyRecords(batch(t, 1, intent(1, a), intent(2, a), intent(3, a)), start)
	assert.Equal(t, l.Lookup(recorder.Hash{1}, recorder.Hash{9}).State, deduplicator.Claimed)
	l.ApplyRecord(start.Add(2600*time.Millisecond), recorder.CallBatch{})
	assert.Equal(t, l.Lookup(recorder.Hash{1}, recorder.Hash{9}).State, deduplicator.Free)
	assert.Equal(t, l.Lookup(recorder.Hash{2}, recorder.Hash{9}).State, deduplicator.Claimed)
}

// Callers abandon and claim one key again and again. It must not keep the keys that were
// claimed after it from being forgotten, or a VM's memory would fill with them.
func TestKeyThatIsClaimedAgainKeepsNoOtherKeys(t *testing.T) {
	const retention = 10 * time.Second
	l := deduplicator.NewLedger(retention)
	for i := range 100 {
		at := start.Add(time.Duration(i) * time.Second)
		a := attempt("a", uint64(i))
		l.ApplyRecord(at, recorder.CallBatch{Calls: []recorder.CallEntry{intent(1, a), intent(byte(2+i), a), abandon(a)}})
	}
	assert.Assert(t, l.Len() <= 12, "%d keys are kept", l.Len())
	assert.Equal(t, l.Lookup(recorder.Hash{1}, recorder.Hash{9}).State, deduplicator.Free)
	l.ApplyRecord(start.Add(200*time.Second), recorder.CallBatch{})
	assert.Equal(t, l.Len(), 0)
}

// Operators lengthen the window. Keys forgotten under the old window don't come back,
// so for a while they must not be taken for new.
func TestLongerWindow(t *testing.T) {
	l := deduplicator.NewLedger(time.Minute)
	l.SetRetention(time.Hour) // nothing read yet, nothing forgotten
	assert.Assert(t, l.CompleteSince().IsZero())
	l.SetRetention(time.Minute)
	l.ApplyRecord(start, recorder.CallBatch{Calls: []recorder.CallEntry{intent(1, attempt("a", 1))}})
	l.ApplyRecord(start.Add(2*time.Minute), recorder.CallBatch{})
	l.SetRetention(time.Hour)
	assert.Assert(t, l.CompleteSince().Equal(start.Add(time.Minute)), "%s", l.CompleteSince())
}

// The log drops records, or loses its end, before a VM has read them. A key used in
// the missing records must not be taken for new.
func TestLedgerDetectsMissedRecords(t *testing.T) {
	now := start.Add(time.Hour)
	other, err := recorder.Encode([]any{2, "calls", map[string]int{}})
	assert.NilError(t, err)
	tests := []struct {
		name  string
		apply func(l *deduplicator.Ledger)
		since time.Time
	}{
		{"all read", func(l *deduplicator.Ledger) { l.ApplyRecords(batch(t, 1, intent(1, attempt("a", 1))), now) }, time.Time{}},
		{"dropped before the start", func(l *deduplicator.Ledger) { l.ApplyRecords(batch(t, 5, intent(1, attempt("a", 1))), now) }, start},
		{"all dropped", func(l *deduplicator.Ledger) { l.ApplyRecords(appender.Batch{Start: 5, End: 5}, now) }, now},
		{"fell behind", func(l *deduplicator.Ledger) {
			l.ApplyRecords(batch(t, 1, intent(1, attempt("a", 1))), now)
			l.ApplyRecords(batch(t, 9, intent(1, attempt("a", 1))), now)
		}, start},
		{"log lost its end", func(l *deduplicator.Ledger) {
			l.ApplyRecords(batch(t, 1, intent(1, attempt("a", 1)), intent(1, attempt("a", 2))), now)
			l.ApplyRecords(appender.Batch{Start: 1, End: 2}, now)
		}, now},
		{"later version", func(l *deduplicator.Ledger) {
			l.ApplyRecords(appender.Batch{Start: 1, End: 2, Records: []appender.Record{{Offset: 1, At: now, Data: other}}}, now)
		}, now},
		{"corrupt record", func(l *deduplicator.Ledger) {
			l.ApplyRecords(appender.Batch{Start: 1, End: 2, Records: []appender.Record{{Offset: 1, At: now, Data: []byte("x")}}}, now)
		}, time.Time{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := deduplicator.NewLedger(24 * time.Hour)
			test.apply(l)
			assert.Assert(t, l.CompleteSince().Equal(test.since), "%s", l.CompleteSince())
		})
	}
}

func TestCheckKey(t *testing.T) {
	l := deduplicator.Limits{Window: time.Hour, MaxClockSkew: time.Minute}
	now := start
	since := now.Add(-30 * time.Minute)
	fresh := uuidAt(now, 1)
	tests := []struct {
		name, key   string
		timestamped bool
		since       time.Time
		wantErr     interface{ Has(error) bool }
	}{
		{"fresh", fresh, true, time.Time{}, nil},
		{"any form", "booking 1", false, time.Time{}, nil},
		{"not a UUID", "booking 1", true, time.Time{}, &deduplicator.ErrMalformed},
		{"version 4", "f47ac10b-58cc-4372-a567-0e02b2c3d479", true, time.Time{}, &deduplicator.ErrMalformed},
		{"other form of a UUID", "{" + fresh + "}", true, time.Time{}, &deduplicator.ErrMalformed},
		{"just in the window", uuidAt(now.Add(-time.Hour), 1), true, time.Time{}, nil},
		{"expired", uuidAt(now.Add(-time.Hour-time.Millisecond), 1), true, time.Time{}, &deduplicator.ErrExpired},
		{"a little ahead", uuidAt(now.Add(time.Minute), 1), true, time.Time{}, nil},
		{"far ahead", uuidAt(now.Add(time.Minute+time.Millisecond), 1), true, time.Time{}, &deduplicator.ErrFuture},
		{"created after the missed records", uuidAt(since.Add(3*time.Minute), 1), true, since, nil},
		{"possibly among the missed records", uuidAt(since.Add(2*time.Minute), 1), true, since, &deduplicator.ErrUnread},
		{"any form, records missed", "booking 1", false, since, &deduplicator.ErrUnread},
		{"any form, records missed long ago", "booking 1", false, now.Add(-63 * time.Minute), nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := l.CheckKey(test.key, test.timestamped, test.since, now)
			if test.wantErr == nil {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, test.wantErr.Has(err), "%v", err)
		})
	}
}

// A VM appends its intent and is frozen. Meanwhile the log drops records, among them
// the first intent of the key. The VM resumes and reads its own intent as the first;
// if it sent the call, the caller would have two bookings.
func TestFreezeWhileRecordsAreDropped(t *testing.T) {
	limits := deduplicator.Limits{Window: time.Hour, MaxClockSkew: time.Second}
	l := deduplicator.NewLedger(limits.Retention())
	l.ApplyRecords(batch(t, 1), start)
	a := attempt("a", 1)
	l.ApplyRecords(batch(t, 3, intent(1, a)), start.Add(time.Minute))
	assert.Equal(t, l.AttemptState(recorder.Hash{1}, a), deduplicator.Won)
	err := limits.CheckKey(uuidAt(start, 1), true, l.CompleteSince(), start.Add(time.Minute))
	assert.Assert(t, deduplicator.ErrUnread.Has(err), "%v", err)
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
		l.ApplyRecords(batch(t, 1, intent(1, a)), start)
		l.ApplyRecords(appender.Batch{Start: 1, End: 4, Records: []appender.Record{
			{Offset: 2, At: start, Data: one}, {Offset: 3, At: start, Data: two},
		}}, start)
		assert.Equal(t, l.NextOffset(), uint64(4))
		// Two attempts must never hold one key, whatever the records contain.
		won := l.AttemptState(recorder.Hash{1}, a) == deduplicator.Won && l.AttemptState(recorder.Hash{1}, b) == deduplicator.Won
		assert.Assert(t, !won, "%x %x", one, two)
	})
}
