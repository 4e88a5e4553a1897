package generator

import (
	"context"
	"slices"
	"time"
)

const (
	// busyStep and idleStep are how often Run steps an engine that has work and
	// one that has none.
	busyStep = 3 * time.Millisecond
	idleStep = 50 * time.Millisecond
	// keepFor is how long a delivered stream's id is known, for resuming an
	// answer whose end was lost and for refusing a late double.
	keepFor = time.Minute
	// forgetEvery is how often old ids are looked for.
	forgetEvery = time.Second
	// tellEvery is the least time between two wakes of a stream's readers.
	tellEvery = 10 * time.Millisecond
	// mixed is what is left of the decode rate while prompts are read: batches
	// that mix both take longer.
	mixed = 0.5
)

// Run steps the engine until the context ends.
func (g *Generator) Run(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		case <-t.C:
		}
		if g.Step() {
			t.Reset(busyStep)
		} else {
			t.Reset(idleStep)
		}
	}
}

// Step lets the time since the last step pass, and reports whether there is
// work.
func (g *Generator) Step() bool {
	f := g.faults.Faults()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	passed := min(now.Sub(g.last), maxStep)
	g.last = now
	if f.Freeze {
		return false
	}
	rate := g.config.Scale * passed.Seconds()
	if f.Slower > 1 {
		rate /= f.Slower
	}
	g.loaded(now)
	g.admit()
	reading := g.prefill(rate * g.config.Prefill)
	g.decode(now, rate*g.config.Decode, reading)
	g.forget(now)
	if now.Sub(g.reports.Noted()) >= reportEvery {
		g.reports.Note(now, g.report())
	}
	return g.atOnce() > 0
}

// admit moves waiting streams into free slots while their memory fits. The
// first that doesn't fit holds back those behind it: otherwise small streams
// would starve a large one for ever.
func (g *Generator) admit() {
	for len(g.waiting) > 0 && len(g.running) < g.config.Slots {
		s := g.waiting[0]
		if g.used+s.memory > g.config.Memory {
			return
		}
		g.waiting = g.waiting[1:]
		g.used += s.memory
		g.shrink()
		s.cached = min(g.cache.find(s.prompt), s.prompt.tokens-1)
		s.left -= float64(s.cached)
		s.state = reads
		g.running = append(g.running, s)
	}
}

// shrink gives the cache what streams leave of the memory.
func (g *Generator) shrink() {
	for _, head := range g.cache.shrink(g.config.Memory - g.used) {
		g.event(drop, head)
	}
}

// prefill reads up to budget tokens of prompts, those of the highest priority
// first, and reports whether any prompt was read. Prompts of one priority share
// evenly.
func (g *Generator) prefill(budget float64) bool {
	var reading []*stream
	for _, s := range g.running {
		if s.state == reads {
			reading = append(reading, s)
		}
	}
	slices.SortFunc(reading, func(a, b *stream) int {
		if a.order.level != b.order.level {
			return b.order.level - a.order.level
		}
		return int(a.left - b.left)
	})
	for i, s := range reading {
		share := min(budget/float64(level(reading[i:])), s.left)
		budget -= share
		s.left -= share
		if s.left < 1e-6 {
			g.read(s)
		}
	}
	return len(reading) > 0
}

// level is how many of the streams have the first one's priority.
func level(list []*stream) int {
	n := 0
	for n < len(list) && list[n].order.level == list[0].order.level {
		n++
	}
	return n
}

// read marks a prompt as read.
func (g *Generator) read(s *stream) {
	s.left = 0
	s.state = makes
	if g.cache.add(s.prompt) {
		g.event(add, s.prompt.head)
	}
	g.shrink()
}

// decode makes n tokens of every answer whose prompt is read, fewer while
// prompts are being read, and takes out what is finished.
func (g *Generator) decode(now time.Time, n float64, reading bool) {
	if reading {
		n *= mixed
	}
	still := g.running[:0]
	for _, s := range g.running {
		if s.state == makes {
			s.produce(now, n)
		}
		if s.state == made {
			g.finish(s, now)
			continue
		}
		still = append(still, s)
	}
	clear(g.running[len(still):])
	g.running = still
}

// produce adds n tokens to an answer. Readers are woken for its first token and
// then once in a while, so that a fast engine does not send each by itself.
func (s *stream) produce(now time.Time, n float64) {
	if s.kind == kindPart {
		s.state = made
		return
	}
	s.done += n
	ready := s.ready()
	if ready >= s.tokens {
		s.state = made
	}
	if ready > s.told && (s.told == 0 || now.Sub(s.toldAt) >= tellEvery) {
		s.told, s.toldAt = ready, now
		s.notify()
	}
}

// finish counts a completed request. Its memory stays until it is delivered or
// cancelled.
func (g *Generator) finish(s *stream, now time.Time) {
	s.ended = now
	g.warm.Done()
	g.kept = append(g.kept, s)
	s.notify()
}

// forget drops the ids of streams that ended long ago and hold no memory.
func (g *Generator) forget(now time.Time) {
	if now.Sub(g.forgot) < forgetEvery {
		return
	}
	g.forgot = now
	g.kept = slices.DeleteFunc(g.kept, func(s *stream) bool {
		if s.holds() || now.Sub(s.ended) < keepFor {
			return false
		}
		if g.streams[s.id] == s {
			delete(g.streams, s.id)
		}
		return true
	})
}

// release frees a stream's memory.
func (g *Generator) release(s *stream, into state) {
	if !s.holds() {
		return
	}
	if s.state != waits {
		g.used -= s.memory
	}
	if s.state < made {
		is := func(o *stream) bool { return o == s }
		g.running = slices.DeleteFunc(g.running, is)
		g.waiting = slices.DeleteFunc(g.waiting, is)
		s.ended = g.config.Now()
		g.kept = append(g.kept, s)
	}
	s.state = into
	s.notify()
}

// stir has Run step at once.
func (g *Generator) stir() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}
