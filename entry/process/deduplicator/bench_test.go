package deduplicator_test

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/deduplicator"
	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/recorder"
)

// entries returns the intents and outcomes of n calls; each outcome has a body of
// bodySize bytes.
func entries(n, bodySize int) []recorder.CallEntry {
	list := make([]recorder.CallEntry, 0, 2*n)
	o := ok(strings.Repeat("x", bodySize))
	o.Kept = true
	for i := range n {
		key := recorder.Hash{byte(i), byte(i >> 8), byte(i >> 16)}
		a := recorder.Attempt{VM: "vm-a-1", Boot: 1_800_000_000_000, Seq: uint64(i)}
		list = append(
			list,
			recorder.CallEntry{Key: key, Attempt: a, Intent: &recorder.Intent{Print: recorder.Hash{1}}},
			recorder.CallEntry{Key: key, Attempt: a, Outcome: &o},
		)
	}
	return list
}

// BenchmarkLedger applies calls as every VM does, 16 entries to a record. It reports
// the bytes of one call in the log and the memory of one key.
func BenchmarkLedger(b *testing.B) {
	const keys, perRecord = 16_384, 16
	list := entries(keys, 300)
	var records []appender.Record
	size := 0
	for i := 0; i < len(list); i += perRecord {
		data, err := recorder.Wrap(recorder.KindCalls, recorder.CallBatch{Calls: list[i : i+perRecord]})
		assert.NilError(b, err)
		records = append(records, appender.Record{Offset: uint64(len(records) + 1), At: start, Data: data})
		size += len(data)
	}
	read := appender.Batch{Start: 1, End: uint64(len(records) + 1), Records: records}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var l *deduplicator.Ledger
	for b.Loop() {
		l = deduplicator.NewLedger(time.Hour)
		l.ApplyRecords(read, start)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/keys, "ns/call")
	b.ReportMetric(float64(size)/keys, "logbytes/call")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "heapbytes/key")
	runtime.KeepAlive(l)
	runtime.KeepAlive(list)
	runtime.KeepAlive(records)
}

// BenchmarkDeduplicator runs calls, 64 per processor at once, on an in-memory log,
// and reports the number of calls per append.
func BenchmarkDeduplicator(b *testing.B) {
	log := newLog()
	d := runWithInterval(b, log, "a", 1, neverGone, deduplicator.DefaultAppendInterval)
	keys := make(chan string, b.N)
	for n := range b.N {
		keys <- uuidAt(time.Now(), n)
	}
	close(keys)
	b.SetParallelism(64)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			a := d.Begin(b.Context(), call(<-keys))
			if a.Ticket == nil {
				b.Errorf("refused: %v", a.Refusal)
				return
			}
			a.Ticket.Complete(ok("booked"))
		}
	})
	b.ReportMetric(float64(b.N)/float64(len(log.records)), "calls/append")
}
