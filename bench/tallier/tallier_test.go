package tallier_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/tallier"
)

// A retry of the caller and the line of the VM to which a request was forwarded must not
// count, nor a request before the stable window.
func TestCountsFirstTriesAtVMsThatAreCutOff(t *testing.T) {
	var log strings.Builder
	request := func(at float64, vm, fingerprint, rest string) {
		fmt.Fprintf(&log, "  %.4f %s {\"vm\":%q,\"route\":\"r\",\"fingerprint\":%q,\"took\":500%s,\"message\":\"request\"}\n", at, vm, vm, fingerprint, rest)
	}
	for i := range 4 {
		fmt.Fprintf(&log, "  4.2 a {\"vm\":\"a\",\"upstream\":\"u%d\",\"cause\":\"dial tcp 1.2.3.4:5: i/o timeout\",\"message\":\"attempt failed\"}\n", i)
	}
	fmt.Fprintln(&log, `  4.2 b {"vm":"b","upstream":"u1","cause":"dial tcp 1.2.3.4:5: i/o timeout","message":"attempt failed"}`)
	log.WriteString("no log line\n")
	request(7.4, "a", "early", `,"status":503`)
	request(8.0, "a", "f1", `,"status":503`)
	request(8.6, "b", "f1", `,"status":200`)
	request(8.1, "b", "f2", `,"status":200`)
	request(8.1, "b", "f3", `,"status":200,"from":"a"`)
	request(8.2, "a", "f3", `,"status":200,"peer":"b"`)
	request(8.3, "b", "f4", `,"status":0`)
	request(20, "b", "late", `,"status":200`)
	tallies, err := tallier.Count(strings.NewReader(log.String()), []tallier.Cut{{Begin: 4, End: 14}})
	assert.NilError(t, err)
	assert.DeepEqual(t, tallies[0].CutOff, map[string]tallier.Tries{"a": {Served: 1, Sent: 2, Forwarded: 1}})
	assert.DeepEqual(t, tallies[0].Others, map[string]tallier.Tries{"b": {Served: 1, Sent: 2}})
	assert.Assert(t, tallies[0].Holds())
}

// VMs that are cut off may serve a third less, and a few failures are always allowed.
func TestBoundsOfServiceWhileCutOff(t *testing.T) {
	for _, c := range []struct {
		there, elsewhere tallier.Tries
		holds            bool
	}{
		{tallier.Tries{Served: 0, Sent: 86}, tallier.Tries{Served: 117, Sent: 120}, false},
		{tallier.Tries{Served: 67, Sent: 100}, tallier.Tries{Served: 100, Sent: 100}, true},
		{tallier.Tries{Served: 66, Sent: 100}, tallier.Tries{Served: 100, Sent: 100}, false},
		{tallier.Tries{Served: 0, Sent: 12}, tallier.Tries{Served: 100, Sent: 100}, true},
		{tallier.Tries{Served: 0, Sent: 13}, tallier.Tries{Served: 100, Sent: 100}, false},
	} {
		tally := tallier.Tally{CutOff: map[string]tallier.Tries{"a": c.there}, Others: map[string]tallier.Tries{"b": c.elsewhere}}
		assert.Equal(t, tally.Holds(), c.holds, "%+v", c)
	}
}
