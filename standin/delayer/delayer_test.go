package delayer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/standin/delayer"
)

func TestShow(t *testing.T) {
	at := time.UnixMilli
	d := delayer.New(100*time.Millisecond, at(0), 0)
	for ms := int64(10); ms <= 1000; ms += 10 {
		d.Note(at(ms), int(ms))
	}
	tests := []struct {
		at   int64
		want int
	}{{1000, 900}, {1009, 900}, {1010, 910}, {1100, 1000}, {9999, 1000}}
	for _, test := range tests {
		assert.Equal(t, d.Show(at(test.at)).Value, test.want)
	}
	// An idle service's report would else look minutes old, and a holder would
	// wait for ever for one that speaks of its own time.
	assert.Equal(t, d.Show(at(9999)).At, at(9899))
	assert.Equal(t, d.Show(at(1009)).At, at(909))
	assert.Equal(t, delayer.New(time.Second, at(0), 7).Show(at(1)).Value, 7)
}
