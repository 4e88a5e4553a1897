package claimer_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/recorder"
)

// BenchmarkRead gives what a VM that starts spends on reading all claims, one
// record for each VM, for each record and upstream, and the memory of each.
func BenchmarkRead(b *testing.B) {
	for _, s := range []struct{ records, upstreams int }{{8, 4}, {64, 36}, {330, 1}, {330, 36}} {
		b.Run(fmt.Sprintf("records=%d/upstreams=%d", s.records, s.upstreams), func(b *testing.B) {
			var records []appender.Record
			size := 0
			for i := range s.records {
				vm := fmt.Sprint("v", i)
				c := recorder.Claim{VM: vm, Boot: 1, By: vm, Zone: "a", Address: "10.0.0.1:80"}
				for k := range s.upstreams {
					c.Upstreams = append(c.Upstreams, recorder.ClaimUpstream{Name: fmt.Sprintf("e%05d", i*s.upstreams+k)})
				}
				records = append(records, record(b, uint64(i)+1, 0, c))
				size += len(records[i].Data)
			}
			all := appender.Batch{Start: 1, End: uint64(s.records) + 1, Records: records}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m := machine("v0", 0)
			m.Read(epoch, epoch, all)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				machine("v0", 0).Read(epoch, epoch, all)
			}
			n := float64(s.records)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/n, "ns/record")
			b.ReportMetric(float64(size)/n, "bytes/record")
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/n/float64(s.upstreams), "heapbytes/upstream")
			runtime.KeepAlive(m)
		})
	}
}
