package allocator_test

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/heathervane/heathervane/entry/process/allocator"
	"github.com/heathervane/heathervane/entry/process/tracker"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// noop is a network, a clock and a meter that do nothing.
type noop struct{}

func (noop) Send(netip.AddrPort, []byte) error                      { return nil }
func (noop) Subscribe(time.Duration, func(time.Time)) (stop func()) { return func() {} }
func (noop) Count(string, int64)                                    {}

// BenchmarkSubmit measures requests that a VM sends to a leader and cancels,
// with fleets of different sizes.
func BenchmarkSubmit(b *testing.B) {
	for _, vms := range []int{7, 67, 330} {
		b.Run(strconv.Itoa(vms), func(b *testing.B) {
			n := &network{t: b, now: time.Unix(1_000_000, 0)}
			var members []allocator.Member
			for i := range vms - 1 {
				at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
				members = append(members, allocator.Member{VM: "vm" + strconv.Itoa(i), Address: at, Zone: "z", Cores: 2})
			}
			service := &matcher.Service{Name: "s", Engine: engine}
			known := tracker.New()
			known.Put(n.now, tracker.Upstream{ID: "u", Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 2})
			a := allocator.New(allocator.Member{VM: "me", Zone: "z", Cores: 1}, 1, allocator.Deps{
				Tracker: known, Sender: noop{}, Timer: noop{}, Meter: noop{},
				Members:        func() []allocator.Member { return members },
				Service:        func(string) (*matcher.Service, bool) { return service, true },
				ColdStartQuota: func(string, float64, bool) int { return 0 },
				Now:            func() time.Time { return n.now }, Log: zerolog.Nop(),
			})
			b.ReportAllocs()
			for range b.N {
				if a.Submit(n.call()).Cancel() == nil {
					b.Fatal("cancelling returned no refusal")
				}
			}
		})
	}
}
