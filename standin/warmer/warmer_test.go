package warmer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/standin/warmer"
)

func TestWarmer(t *testing.T) {
	now := time.UnixMilli(1000)
	w := warmer.New(warmer.Config{Cold: 2, Warm: 2, Fall: time.Second}, now)
	assert.Assert(t, w.Cold())
	assert.Equal(t, w.Boot(), uint64(1000))
	assert.Assert(t, w.Enter(now, 2))
	assert.Assert(t, !w.Enter(now, 3), "falls over")
	assert.Equal(t, w.Boot(), uint64(1001), "never the same number twice")
	assert.Assert(t, w.Down(now.Add(999*time.Millisecond)) && !w.Down(now.Add(time.Second)))

	assert.Assert(t, w.Enter(now, 1))
	w.Done()
	assert.Assert(t, w.Cold())
	w.Done()
	assert.Assert(t, !w.Cold())
	assert.Assert(t, w.Enter(now, 50), "warm")

	w.Turn(now.Add(time.Minute))
	assert.Assert(t, w.Cold())
	assert.Equal(t, w.Boot(), uint64(61_000))
	assert.DeepEqual(t, w.Peak(), warmer.Peak{Bears: 2, Falls: 1, Peaks: map[string]int{"1000": 3, "1001": 1}})
}
