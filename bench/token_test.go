package main_test

import (
	"testing"

	"github.com/heathervane/heathervane/bench/starter"
)

// Engines send tokens twice and out of order, and break connections in the
// middle of answers. A sacristan would read a sentence twice, or miss the line
// with the date; each caller must get the whole answer to their own question.
func TestTokenFaultsReachNoCaller(t *testing.T) {
	b := start(t)
	for name, f := range map[string]starter.Faults{
		"twice":        {Double: 200},
		"out of order": {Reorder: 100},
		"cut":          {Cut: 7},
		"all of them":  {Double: 100, Reorder: 100, Cut: 11},
	} {
		t.Run(name, func(t *testing.T) {
			b.faults(f, b.Engines...)
			for _, vm := range b.VMs {
				for _, q := range b.askAll(vm, 4, 40) {
					b.whole(q)
				}
			}
		})
	}
	b.reclaimed()
}
