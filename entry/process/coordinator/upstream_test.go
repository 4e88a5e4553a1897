package coordinator_test

import (
	"fmt"
	"time"

	"github.com/heathervane/heathervane/entry/process/coordinator"
)

// request takes a slot and sends the request a moment later, if the slot is
// still good then.
func (w *world) request(v *vm, u *upstream) {
	boot, ok := v.node.Take(w.now, u.Name, 0)
	if !ok {
		return
	}
	r := &request{vm: v, boot: boot, taken: w.now}
	u.flying[r] = true
	w.after(w.short(), func() {
		w.at(v, func() {
			if w.now.Sub(r.taken) >= w.timings.Settle/2 {
				delete(u.flying, r)
				w.finish(v, u, boot, coordinator.Refused)
				return
			}
			r.sent = true
			w.after(w.short(), func() { w.arrive(r, u) })
		})
	})
}

func (w *world) arrive(r *request, u *upstream) {
	delete(u.flying, r)
	if r.boot != u.boot || u.down {
		boot := u.boot
		w.at(r.vm, func() {
			r.vm.node.Turned(u.Name, boot)
			w.finish(r.vm, u, r.boot, coordinator.Refused)
		})
		return
	}
	u.running[r] = true
	w.after(time.Duration(w.rand.Int64N(int64(w.longest))), func() {
		if !u.running[r] {
			w.at(r.vm, func() { w.finish(r.vm, u, r.boot, coordinator.Cut) })
			return
		}
		delete(u.running, r)
		u.done++
		if u.done >= u.warm {
			u.cold = false
		}
		w.after(w.short(), func() { w.at(r.vm, func() { w.finish(r.vm, u, r.boot, coordinator.Completed) }) })
	})
}

func (w *world) finish(v *vm, u *upstream, boot uint64, o coordinator.Outcome) {
	v.node.Done(u.Name, boot, 0, o)
}

// fall makes an upstream cold: all it ran is cut.
func (w *world) fall(u *upstream) {
	w.boots++
	u.boot, u.cold, u.done = w.boots, true, 0
	clear(u.running)
}

// check compares what upstreams run with what they bear, and the sum of what
// might be started with their slots.
func (w *world) check() {
	for _, u := range w.upstreams {
		bears := u.Slots
		if u.cold {
			bears = u.Cold
		}
		if w.services() && !u.cold {
			// A warm service may get a little more than its slots after a
			// takeover: what a dead VM left there is estimated.
			continue
		}
		if len(u.running) > bears {
			w.failure = fmt.Sprintf("%s at %v: runs %d, bears %d", u.Name, w.at0(), len(u.running), bears)
			return
		}
		if n := w.possible(u); n > u.Slots {
			w.failure = fmt.Sprintf("%s at %v: %d in use or usable, %d slots", u.Name, w.at0(), n, u.Slots)
			return
		}
	}
}

// services says whether the upstreams are plain services, which don't list what
// they run.
func (w *world) services() bool { return w.upstreams[0].Memory == 0 }

// possible is what runs or may still be started: work on its way or at the
// upstream, whoever sent it, and free slots of all VMs, frozen ones too.
func (w *world) possible(u *upstream) int {
	sum := len(u.running)
	for r := range u.flying {
		sendable := !r.vm.dead && w.now.Sub(r.taken) < w.timings.Settle/2
		if r.boot == u.boot && (r.sent || sendable) {
			sum++
		}
	}
	for _, v := range w.vms {
		if v.dead {
			continue
		}
		// What is for an earlier boot of the upstream can't run.
		if view := v.node.View(w.now, u.Name); view.Boot == u.boot {
			sum += view.Free
		}
	}
	return sum
}

func (w *world) at0() time.Duration { return w.now.Sub(time.Unix(1_000_000, 0)) }

func (w *world) free(u *upstream) int {
	sum := 0
	for _, v := range w.vms {
		if !v.dead && !w.now.Before(v.frozen) {
			sum += v.node.View(w.now, u.Name).Free + v.node.View(w.now, u.Name).Mine
		}
	}
	return sum
}

// holder is the VM that lends the first upstream.
func (w *world) holder() *vm {
	for _, v := range w.vms {
		if !v.dead && v.node.Holds(w.now, w.upstreams[0].Name) {
			return v
		}
	}
	return nil
}
