package coordinator_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/process/coordinator"
	"github.com/heathervane/heathervane/entry/process/lender"
	"github.com/heathervane/heathervane/entry/process/member"
	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/lister"
	"github.com/heathervane/heathervane/library/recorder"
)

// A crowd is one node among many VMs that are played: they beat, lend it what
// they hold and borrow what it holds, so that one node's cost is seen at the
// size of a large fleet without the rest of the fleet.
type crowd struct {
	now     time.Time
	node    *coordinator.Node
	members []member.Member
	own     string
	held    []string
	acks    map[string][2]uint64 // of the last loan to a VM, by VM and upstream
	seq     uint64
	end     uint64

	ticks, messages, bytes int
	tick, handle           time.Duration
	beats, asks, loans     int
}

func newCrowd(b *testing.B, vms, upstreams int) *crowd {
	b.Helper()
	c := &crowd{now: time.Unix(1_000_000, 0), acks: map[string][2]uint64{}, end: uint64(vms) + 1}
	var list []lister.VM
	for i := range vms {
		id := fmt.Sprintf("v%d", i)
		c.members = append(c.members, member.Member{VM: id, Zone: "a", Address: id + ":1", Boot: 1})
		list = append(list, lister.VM{ID: id, Zone: "a", Address: id + ":1", State: lister.Live})
	}
	claims := map[string]*recorder.Claim{}
	for i, m := range c.members {
		claims[m.VM] = &recorder.Claim{
			VM: m.VM, Boot: 1, By: m.VM, Zone: "a", Address: m.Address, Seats: []recorder.ClaimSeat{{Seat: i}},
		}
	}
	var us []coordinator.Upstream
	holds := map[string][]string{}
	for i := range upstreams {
		u := engine(fmt.Sprintf("e%05d", i))
		us = append(us, u)
		holder, _ := member.PreferredHolder(u.Name, c.members)
		holds[holder] = append(holds[holder], u.Name)
		claims[holder].Upstreams = append(claims[holder].Upstreams, recorder.ClaimUpstream{Name: u.Name})
	}
	c.own = typical(c.members, holds, (upstreams+vms-1)/vms)
	c.held = holds[c.own]
	c.node = coordinator.NewNode(coordinator.Config{
		VM: c.own, Zone: "a", Address: c.own + ":1", Boot: 1, Timings: coordinator.Today(),
	})
	c.node.Configure(us, vms)
	c.node.List(c.now, list)
	c.beat()
	var records []appender.Record
	for i, m := range c.members {
		data, err := recorder.Wrap(recorder.KindClaim, claims[m.VM])
		assert.NilError(b, err)
		records = append(records, appender.Record{Offset: uint64(i) + 1, At: c.now, Data: data})
	}
	c.node.Read(c.now, c.now, appender.Batch{Start: 1, End: 1})
	c.node.Read(c.now, c.now, appender.Batch{Start: 1, End: c.end, Records: records})
	return c
}

// typical is a VM that holds about as many upstreams as the mean.
func typical(members []member.Member, holds map[string][]string, mean int) string {
	off := func(m member.Member) int { return max(len(holds[m.VM])-mean, mean-len(holds[m.VM])) }
	return slices.MinFunc(members, func(a, b member.Member) int { return off(a) - off(b) }).VM
}

func (c *crowd) who(vm string) lender.Who { return lender.Who{VM: vm, Boot: 1} }

func (c *crowd) beat() {
	for _, m := range c.members {
		if m.VM == c.own {
			continue
		}
		beat := &member.Heartbeat{VM: m.VM, Boot: 1, Zone: "a", Address: m.Address}
		c.node.Handle(c.now, c.who(m.VM), coordinator.Message{Beat: beat})
	}
}

// borrow has every VM ask for every upstream held here, as they do at rest.
func (c *crowd) borrow() {
	c.seq++
	for _, m := range c.members {
		if m.VM == c.own {
			continue
		}
		var message coordinator.Message
		for _, name := range c.held {
			ack := c.acks[m.VM+" "+name]
			message.Asks = append(message.Asks, lender.Ask{Name: name, Seq: c.seq, Fence: ack[0], Ack: ack[1], Boot: 7, Warm: true})
		}
		if len(message.Asks) > 0 {
			c.take(m.VM, message)
		}
	}
}

func (c *crowd) take(from string, m coordinator.Message) {
	began := time.Now()
	c.node.Handle(c.now, c.who(from), m)
	c.handle += time.Since(began)
}

// run plays some ticks, 50 ms apart.
func (c *crowd) run(b *testing.B, ticks int) {
	b.Helper()
	for range ticks {
		c.now = c.now.Add(coordinator.Today().Step)
		c.ticks++
		c.node.Read(c.now, c.now, appender.Batch{Start: 1, End: c.end})
		if c.ticks%5 == 0 {
			for _, name := range c.held {
				load := lender.Load{Boot: 7, Taken: c.now}
				c.node.Loaded(c.now, c.now, name, load)
				c.node.Streams(c.now, c.now, name, 7, nil)
			}
		}
		if c.ticks%10 == 0 {
			c.beat()
		}
		if c.ticks%13 == 0 {
			c.borrow()
		}
		began := time.Now()
		s := c.node.Tick(c.now)
		c.tick += time.Since(began)
		assert.Equal(b, len(s.Claims), 0)
		for _, m := range s.Sends {
			c.answer(b, m)
		}
	}
}

// answer counts a message, notes its loans and lends what it asks for.
func (c *crowd) answer(b *testing.B, s coordinator.Send) {
	data, err := recorder.Encode(s.Message)
	assert.NilError(b, err)
	c.messages++
	c.bytes += len(data)
	if s.Message.Beat != nil {
		c.beats++
	}
	c.asks += len(s.Message.Asks)
	c.loans += len(s.Message.Loans)
	for _, l := range s.Message.Loans {
		c.acks[s.To+" "+l.Name] = [2]uint64{l.Fence, l.Seq}
	}
	var reply coordinator.Message
	for _, a := range s.Message.Asks {
		reply.Loans = append(reply.Loans, lender.Loan{
			Name: a.Name, Fence: c.fence(s.To), Seq: a.Seq, Echo: a.Seq, Life: 2000, Boot: 7, Slots: 1, Limit: 16,
		})
	}
	if len(reply.Loans) > 0 {
		c.take(s.To, reply)
	}
}

func (c *crowd) fence(vm string) uint64 {
	for i, m := range c.members {
		if m.VM == vm {
			return uint64(i) + 1
		}
	}
	return 0
}

// BenchmarkCapacity gives what one VM at rest costs by the number of VMs and of
// upstreams that it knows: its ticks and what it is told in ms of a core for
// each second, its messages and bytes a second, and its memory.
func BenchmarkCapacity(b *testing.B) {
	for _, s := range []struct{ vms, upstreams int }{
		{8, 4},
		{8, 16},
		{8, 64},
		{8, 256},
		{64, 64},
		{64, 256},
		{330, 64},
		{330, 256},
		{64, 768},
		{330, 768},
	} {
		b.Run(fmt.Sprintf("vms=%d/upstreams=%d", s.vms, s.upstreams), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := newCrowd(b, s.vms, s.upstreams)
			c.run(b, 40)
			runtime.GC()
			runtime.ReadMemStats(&after)
			*c = crowd{now: c.now, node: c.node, members: c.members, own: c.own, held: c.held, acks: c.acks, seq: c.seq, end: c.end}
			for b.Loop() {
				c.run(b, 20)
			}
			seconds := float64(c.ticks) / 20
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(len(c.held)), "held")
			b.ReportMetric(c.tick.Seconds()*1000/seconds, "tick-ms/s")
			b.ReportMetric(c.handle.Seconds()*1000/seconds, "handle-ms/s")
			b.ReportMetric(float64(c.messages)/seconds, "messages/s")
			b.ReportMetric(float64(c.bytes)/seconds, "bytes/s")
			b.ReportMetric(float64(c.beats)/seconds, "beats/s")
			b.ReportMetric(float64(c.asks)/seconds, "asks/s")
			b.ReportMetric(float64(c.loans)/seconds, "loans/s")
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1e6, "heap-MB")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkConfigure gives what a change of the configuration costs a node that
// has all upstreams already.
func BenchmarkConfigure(b *testing.B) {
	for _, upstreams := range []int{24, 750, 12_000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			var us []coordinator.Upstream
			for i := range upstreams {
				us = append(us, engine(fmt.Sprintf("e%05d", i)))
			}
			n := coordinator.NewNode(coordinator.Config{VM: "v0", Boot: 1, Timings: coordinator.Today()})
			n.Configure(us, 330)
			for b.Loop() {
				n.Configure(us, 330)
			}
		})
	}
}
