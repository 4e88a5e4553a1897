package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/coordinator"
	"github.com/heathervane/heathervane/entry/process/lender"
	"github.com/heathervane/heathervane/entry/process/member"
	"github.com/heathervane/heathervane/library/recorder"
)

// FuzzPeer has one VM of a fleet say anything at all. The others don't stop, and
// what they may start stays within the slots.
func FuzzPeer(f *testing.F) {
	for _, m := range []coordinator.Message{
		{Beat: &member.Heartbeat{VM: "v2", Boot: 3, Heard: []member.HeardVM{{VM: "v1", AgeMillis: -1}}}},
		{Asks: []lender.Ask{{Name: "e1", Seq: 1 << 60, Used: 1 << 62, Want: 1 << 62, Fence: 1, Ack: 1 << 60}}},
		{Loans: []lender.Loan{{Name: "e1", Fence: 1 << 60, Seq: 1, Echo: 1, Life: 1 << 40, Boot: 1, Slots: 1 << 40}}},
		{Table: []lender.Table{{Name: "e1", Fence: 1, Unknown: -1 << 62}}, Told: []coordinator.Told{{Name: "e1"}}},
		{Clear: []coordinator.Clear{{Name: "e1", VM: "v1", Boot: 2}}},
	} {
		data, err := recorder.Encode(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := recorder.Decode[coordinator.Message](data)
		if err != nil {
			return
		}
		w := newWorld(1, 0, 2, 2, engine("e1"))
		w.run(2 * time.Second)
		bad := w.vms[1]
		for _, v := range w.vms {
			v.node.Handle(w.now, lender.Who{VM: bad.id, Boot: bad.boot}, m)
		}
		w.run(2 * time.Second)
		for _, v := range w.vms {
			view := v.node.View(w.now, "e1")
			assert.Assert(t, view.Free <= 16, "%+v", view)
		}
	})
}
