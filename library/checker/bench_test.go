package checker_test

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/checker"
	"github.com/heathervane/heathervane/library/recorder"
)

// fleet writes a manifest as a build pipeline would.
func fleet(upstreams, teams int) []byte {
	var b strings.Builder
	b.WriteString("seats = 9\n[models.assistant]\ncontext = 2000000\n")
	for i := range upstreams {
		fmt.Fprintf(&b, "[upstreams.runner-%d]\nmodel = \"assistant\"\naddress = \"10.%d.%d.%d:8000\"\nzone = \"z%d\"\n"+
			"slots = 16\ncold = 2\nmemory = 400000\nprefill = 8000\ndecode = 40\n", i, i>>16, i>>8&255, i&255, i%16)
	}
	for i := range teams {
		fmt.Fprintf(&b, "[teams.team-%d]\nshare = 1\ntokens = [\"sha256:%x\"]\n", i, sha256.Sum256([]byte{byte(i), byte(i >> 8)}))
	}
	return []byte(b.String())
}

// BenchmarkParse gives what one publish costs each VM.
func BenchmarkParse(b *testing.B) {
	for _, size := range []struct{ upstreams, teams int }{{24, 10}, {750, 170}, {3000, 675}, {12_000, 2700}} {
		data := fleet(size.upstreams, size.teams)
		b.Run(fmt.Sprintf("upstreams=%d/teams=%d", size.upstreams, size.teams), func(b *testing.B) {
			b.ReportAllocs()
			packed, err := recorder.Compress(data)
			assert.NilError(b, err)
			assert.Assert(b, len(packed) < recorder.MaxManifest)
			for b.Loop() {
				source, err := recorder.Decompress(packed, checker.MaxBytes)
				assert.NilError(b, err)
				_, found := checker.Parse(source)
				assert.NilError(b, found.Err())
			}
			b.ReportMetric(float64(len(data)), "bytes")
			b.ReportMetric(float64(len(packed)), "packed-bytes")
		})
	}
}
