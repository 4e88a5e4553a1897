package driver

import (
	"context"
	"sync"
	"time"

	"github.com/heathervane/heathervane/bench/starter"
)

// A Work is one piece of work that an engine began.
type Work struct {
	Upstream string
	ID       string
	Start    time.Time
}

// An observer asks the engines what they hold, and so learns when each piece of
// work began at the engine itself. What begins and ends between two questions
// is missed; answers of the experiments take longer than that.
type observer struct {
	engines []*starter.Process

	mu   sync.Mutex
	seen map[string]Work
}

func newObserver(engines []*starter.Process) *observer {
	return &observer{engines: engines, seen: make(map[string]Work)}
}

func (o *observer) run(ctx context.Context) {
	const period = 100 * time.Millisecond
	ticks := time.NewTicker(period)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		var asking sync.WaitGroup
		for _, p := range o.engines {
			asking.Go(func() { o.ask(ctx, p) })
		}
		asking.Wait()
	}
}

func (o *observer) ask(ctx context.Context, p *starter.Process) {
	if !p.Alive() {
		return
	}
	now := time.Now()
	streams, err := starter.Streams(ctx, p)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range streams {
		key := p.Name + " " + s.ID
		if _, ok := o.seen[key]; ok {
			continue
		}
		start := now.Add(-time.Duration(s.Age) * time.Millisecond)
		o.seen[key] = Work{Upstream: p.Name, ID: s.ID, Start: start}
	}
}

func (o *observer) works() []Work {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]Work, 0, len(o.seen))
	for _, w := range o.seen {
		list = append(list, w)
	}
	return list
}
