package folder_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/folder"
	"github.com/heathervane/heathervane/library/recorder"
)

// fleetOf writes a manifest as a build pipeline would.
func fleetOf(upstreams, teams int) []byte {
	var b bytes.Buffer
	b.WriteString("seats = 9\n[models.m]\ncontext = 2000000\n")
	for i := range upstreams {
		fmt.Fprintf(&b, "[upstreams.e%05d]\nmodel = 'm'\naddress = '10.%d.%d.%d:8000'\nzone = 'z%d'\n"+
			"slots = 16\ncold = 2\nmemory = 400000\nprefill = 8000\ndecode = 40\n", i, i>>16, i>>8&255, i&255, i%16)
	}
	for i := range teams {
		fmt.Fprintf(&b, "[teams.t%d]\nshare = 1\ntokens = ['sha256:%x']\n", i, sha256.Sum256([]byte{byte(i), byte(i >> 8)}))
	}
	return b.Bytes()
}

// BenchmarkApply gives what one publish and one order cost each VM, and the
// memory of the state that they lead to.
func BenchmarkApply(b *testing.B) {
	for _, s := range []struct{ upstreams, teams int }{{24, 10}, {750, 200}, {12_000, 2700}} {
		publish := folder.Record{Offset: 1, Data: packed(b, fleetOf(s.upstreams, s.teams))}
		order := folder.Record{Offset: 2, Data: wrap(b, recorder.KindOrder, recorder.Order{
			Kind: recorder.TargetZone, Name: "z1", Out: true, Who: "kim", ID: "o",
		})}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		state, v := folder.Apply(folder.State{}, publish)
		assert.Equal(b, v.Outcome, folder.Accepted, v.Reason)
		runtime.GC()
		runtime.ReadMemStats(&after)
		heap := float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / 1e3
		size := fmt.Sprintf("upstreams=%d/teams=%d", s.upstreams, s.teams)
		b.Run("publish/"+size, func(b *testing.B) {
			for b.Loop() {
				folder.Apply(folder.State{}, publish)
			}
			b.ReportMetric(float64(len(publish.Data)), "bytes")
			b.ReportMetric(heap, "heap-kB")
		})
		b.Run("order/"+size, func(b *testing.B) {
			for b.Loop() {
				folder.Apply(state, order)
			}
			b.ReportMetric(float64(len(order.Data)), "bytes")
		})
	}
}
