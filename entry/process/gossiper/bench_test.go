package gossiper_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// told makes a gossiper that other VMs have told of their work at upstreams.
func told(vms, upstreams int) (g *gossiper.Gossiper, names []string, last datagram) {
	n := newNetwork()
	g = n.add(0, 1, nil)
	for i := range upstreams {
		names = append(names, fmt.Sprintf("i-%08x", i))
	}
	for i := 1; i < vms; i++ {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000)
		other := gossiper.New(fmt.Sprintf("front-%d", i), "z", 1, a, wire{n, a}, func() map[string]gossiper.End { return nil }, tracker.New(), func() time.Time { return n.now }, zerolog.Nop())
		other.Meet(address(0))
		for _, name := range names {
			other.Share(name, work)
		}
		other.Tick(n.now)
	}
	last = n.queue[len(n.queue)-1]
	n.deliver()
	return g, names, last
}

// BenchmarkLoad is what one decision asks: the others' work at each upstream of
// a service.
func BenchmarkLoad(b *testing.B) {
	for _, vms := range []int{9, 91, 330} {
		g, names, _ := told(vms, 78)
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			var sum placer.Load
			for b.Loop() {
				for _, name := range names {
					sum.Add(g.Load(name))
					if o := g.Outcomes(name); g.Silent(name) || o.Failed > 0 {
						b.Fatal("silent")
					}
				}
			}
		})
	}
}

// BenchmarkReceive is one datagram that tells of work.
func BenchmarkReceive(b *testing.B) {
	g, _, last := told(91, 4)
	for b.Loop() {
		g.Receive(last.from, last.data)
	}
}
