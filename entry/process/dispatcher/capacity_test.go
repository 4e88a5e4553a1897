package dispatcher_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/dispatcher"
	"github.com/heathervane/heathervane/entry/version/viewer"
	"github.com/heathervane/heathervane/library/checker"
)

// BenchmarkConfigure gives what a change of the configuration costs, and the
// memory that the pools take at rest, by the number of upstreams of 12 models.
func BenchmarkConfigure(b *testing.B) {
	const models = 12
	for _, upstreams := range []int{24, 750, 12_000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			m := checker.Manifest{Models: map[string]checker.Model{}, Upstreams: map[string]checker.Upstream{}}
			for i := range models {
				m.Models[fmt.Sprint("m", i)] = checker.Model{}
			}
			for i := range upstreams {
				m.Upstreams[fmt.Sprintf("e%05d", i)] = checker.Upstream{
					Model: fmt.Sprint("m", i%models), Zone: "a", Slots: 16, Memory: 400_000, Prefill: 8000, Decode: 40,
				}
			}
			v := viewer.New(1, m, func(string, string) bool { return false })
			d := dispatcher.New(
				dispatcher.Config{Zone: "a", VM: "vm1", Router: "best", Queue: "fair"}, newLender(16), asPromised{}, time.Now,
			)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			assert.NilError(b, d.Configure(v))
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				assert.NilError(b, d.Configure(v))
			}
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1e3, "heap-kB")
			runtime.KeepAlive(d)
		})
	}
}
