package gossiper_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/gossiper"
	"github.com/heathervane/heathervane/entry/request/placer"
)

// VMs tell of their work while datagrams are lost and overtake each other, VMs
// die, fall silent and start again. A sum that kept a part of what is gone would
// leave engines idle, one that lost a part would overload them. Once all that
// live have been heard, each VM's sum is what the others have under way.
func TestSumsAreWhatTheOthersHaveUnderWay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const vms, upstreams = 4, 3
		n := newNetwork()
		shuffled := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		own := map[byte]map[string]placer.Load{}
		nodes := map[byte]*gossiper.Gossiper{}
		boot := int64(0)
		start := func(i byte) {
			boot++
			nodes[i], own[i] = n.add(i, boot, nil), map[string]placer.Load{}
			for j := range byte(vms) {
				nodes[i].Meet(address(j))
			}
		}
		for i := range byte(vms) {
			start(i)
		}
		vm := rapid.Byte().Filter(func(b byte) bool { return b < vms })
		t.Repeat(map[string]func(*rapid.T){
			"share": func(t *rapid.T) {
				i, name := vm.Draw(t, "vm"), string(rune('a'+rapid.IntRange(0, upstreams-1).Draw(t, "upstream")))
				l := placer.Load{Streams: rapid.IntRange(0, 9).Draw(t, "streams")}
				if l.Streams > 0 {
					l.Starting, l.Unread = 1, float64(rapid.IntRange(0, 900).Draw(t, "unread"))
				}
				own[i][name] = l
				nodes[i].Share(name, l)
			},
			"tell": func(t *rapid.T) { nodes[vm.Draw(t, "vm")].Tick(n.now) },
			"lose": func(t *rapid.T) { n.queue = n.queue[:len(n.queue)/2] },
			"deliver": func(*rapid.T) {
				shuffled.Shuffle(len(n.queue), func(i, j int) { n.queue[i], n.queue[j] = n.queue[j], n.queue[i] })
				n.deliver()
			},
			"wait": func(t *rapid.T) {
				n.now = n.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"restart": func(t *rapid.T) { start(vm.Draw(t, "vm")) },
		})
		n.queue = nil
		n.run(4 * time.Second)
		for i, g := range nodes {
			for u := range upstreams {
				name := string(rune('a' + u))
				var want placer.Load
				for j, loads := range own {
					if j != i {
						want.Add(loads[name])
					}
				}
				assert.Equal(t, g.Load(name), want, "VM %d, upstream %s", i, name)
			}
		}
	})
}
