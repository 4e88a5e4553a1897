package generator

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/heathervane/heathervane/standin/answerer"
)

// A request is the body of a call to generate or to read a part.
type request struct {
	ID       string   `json:"id"`
	VM       string   `json:"vm"`
	Boot     uint64   `json:"boot"`
	Expect   uint64   `json:"expect"`
	Model    string   `json:"model"`
	Prompt   string   `json:"prompt"`
	Output   int      `json:"output"`
	Priority int      `json:"priority"`
	Imports  []handle `json:"imports"`
}

// A handle names a part that an engine holds.
type handle struct {
	Address string `json:"address"`
	Handle  string `json:"handle"`
}

// A refusal is why a request was not let in. Status 0 means that the engine
// fell over from it, and nothing is answered.
type refusal struct {
	status        int
	code, message string
}

// send answers a refusal.
func (f *refusal) send(w http.ResponseWriter) {
	if f.status == 0 {
		panic(http.ErrAbortHandler)
	}
	answerer.Refuse(w, f.status, f.code, f.message)
}

func refuse(status int, code, format string, args ...any) *refusal {
	return &refusal{status: status, code: code, message: fmt.Sprintf(format, args...)}
}

// enter lets a request in, or says why not.
func (g *Generator) enter(q request, kind string, p prompt) (*stream, *refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f := g.check(q, kind, p); f != nil {
		return nil, f
	}
	now := g.config.Now()
	if !g.warm.Enter(now, g.atOnce()+1) {
		g.clear()
		return nil, &refusal{}
	}
	g.arrived++
	s := &stream{
		id: q.ID, vm: q.VM, boot: q.Boot, kind: kind, prompt: p, left: float64(p.tokens),
		order: priority{q.Priority, g.arrived}, memory: p.tokens + q.Output,
		since: now, readers: make(map[chan struct{}]struct{}),
	}
	s.tokens, s.reason = g.length(q.Output, p.digest)
	g.streams[s.id] = s
	at, _ := slices.BinarySearchFunc(g.waiting, s, func(a, b *stream) int {
		if a.order.before(b.order) {
			return -1
		}
		return 1
	})
	g.waiting = slices.Insert(g.waiting, at, s)
	g.stir()
	return s, nil
}

// check says why a request can't be let in now.
func (g *Generator) check(q request, kind string, p prompt) *refusal {
	now := g.config.Now()
	switch {
	case g.warm.Down(now):
		return refuse(http.StatusServiceUnavailable, "down", "fallen over")
	case q.ID == "" || q.VM == "":
		return refuse(http.StatusBadRequest, "body", "id and vm must be set")
	case p.tokens < 1 || (kind == kindStream && q.Output < 1):
		return refuse(http.StatusBadRequest, "body", "prompt and output must not be empty")
	case q.Expect != 0 && q.Expect != g.warm.Boot():
		return refuse(http.StatusConflict, "boot", "boot is %d, expected %d", g.warm.Boot(), q.Expect)
	case g.streams[q.ID] != nil:
		return refuse(http.StatusConflict, "exists", "id %q is known", q.ID)
	case q.Model != "" && q.Model != g.model.name:
		return refuse(http.StatusConflict, "model", "model is %q, asked for %q", g.model.name, q.Model)
	case p.tokens+q.Output > g.config.Memory:
		return refuse(http.StatusRequestEntityTooLarge, "memory", "%d tokens, at most %d",
			p.tokens+q.Output, g.config.Memory)
	case g.atOnce() >= g.config.Slots+g.config.Queue:
		return refuse(http.StatusTooManyRequests, "full", "%d running, %d waiting",
			len(g.running), len(g.waiting))
	}
	return nil
}

// length is how many tokens an answer has, and why it ends.
func (g *Generator) length(output int, digest uint64) (tokens int, reason string) {
	if g.config.Stop > 0 {
		natural := 1 + int(digest%uint64(g.config.Stop))
		if natural <= output {
			return natural, "stop"
		}
	}
	return output, "length"
}
