package dispatcher

import (
	"sync"
	"sync/atomic"

	"github.com/heathervane/heathervane/entry/request/admitter"
)

// A reading is a place whose prompt has not been read: until its first token
// comes, its tokens count as unread work at the upstream. Reports show that
// work only later; without this count one pass over the queue would send
// several prompts to an engine that looks free.
type reading struct {
	Slot
	tokens int64
	unread *atomic.Int64
	once   sync.Once
}

func newReading(s Slot, tokens int, unread *atomic.Int64) *reading {
	unread.Add(int64(tokens))
	return &reading{Slot: s, tokens: int64(tokens), unread: unread}
}

// read tells that the prompt has been read.
func (r *reading) read() {
	r.once.Do(func() { r.unread.Add(-r.tokens) })
}

// Done gives the place back.
func (r *reading) Done(o Outcome) {
	r.read()
	r.Slot.Done(o)
}

// Begun hears that the first token of a grant's work has come: its prompt has
// been read, the engines can take the next, and a prompt with the same beginning
// is quicker there.
func (d *Dispatcher) Begun(c Call, g *Grant) {
	for _, part := range g.Parts {
		if r, ok := part.Slot.(*reading); ok {
			r.read()
		}
	}
	p, ok := d.pool(c.Pool)
	if !ok {
		return
	}
	if len(g.Parts) == 1 {
		p.hint(c.Ask, g.Parts[0])
	}
	p.pump()
}

// hint remembers which engine has read the beginning of a prompt.
func (p *pool) hint(k admitter.Request, part Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k.PromptTokens >= hintTokens {
		p.indexer.Add(p.dispatcher.now(), k.PrefixHash, part.Upstream.Name, part.Boot)
	}
}

// unreadAt counts an upstream's unread tokens.
func (p *pool) unreadAt(name string) *atomic.Int64 {
	n, ok := p.unread[name]
	if !ok {
		n = new(atomic.Int64)
		p.unread[name] = n
	}
	return n
}
