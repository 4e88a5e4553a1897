package main_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/starter"
)

// The platform's log is out of order for a while. Questions need nothing of it
// and are answered. A booking with a key cannot be judged without it and is
// refused, truly as not run; the member may come back. When the log is back,
// so are bookings.
func TestLogDownStopsNoQuestion(t *testing.T) {
	b := start(t)
	b.faults(starter.Faults{Down: true}, b.Log)
	for _, vm := range b.VMs {
		for _, q := range b.askAll(vm, 4, 8) {
			b.whole(q)
		}
	}
	key := newKey(t)
	for _, vm := range b.VMs {
		o := b.book(vm, key)
		assert.NilError(t, o.Err)
		assert.Equal(t, o.Ran, "no", "%+v", o)
		assert.Equal(t, o.Status, http.StatusServiceUnavailable, "%+v", o)
	}
	assert.Equal(t, b.effects(key), 0)
	b.faults(starter.Faults{}, b.Log)
	b.until("bookings are taken again", func() (bool, error) {
		o := b.book(b.VMs[0], newKey(t))
		return o.Status == http.StatusOK, o.Err
	})
}
