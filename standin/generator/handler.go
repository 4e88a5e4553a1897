package generator

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/heathervane/heathervane/standin/answerer"
)

const (
	// maxBody bounds a request in bytes: a prompt of a million tokens is 4 MB,
	// and JSON may write a byte as six.
	maxBody = 32 << 20
	// maxOrder bounds an order in bytes.
	maxOrder = 4 << 10
	// headerBoot carries the boot number on every answer.
	headerBoot = "Upstream-Boot"
)

// Handler serves the engine's calls and its faults.
func (g *Generator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", g.generate)
	mux.HandleFunc("POST /v1/parts", g.part)
	mux.HandleFunc("GET /v1/streams/{id}", g.resume)
	mux.HandleFunc("DELETE /v1/streams/{id}", g.cancel)
	mux.HandleFunc("GET /v1/streams", g.list)
	mux.HandleFunc("GET /v1/load", g.load)
	mux.HandleFunc("GET /v1/events", g.changes)
	mux.HandleFunc("GET /v1/peak", g.peak)
	mux.HandleFunc("POST /v1/orders", g.orders)
	return g.faults.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		boot, down := g.warm.Boot(), g.warm.Down(g.config.Now())
		g.mu.Unlock()
		w.Header().Set(headerBoot, strconv.FormatUint(boot, 10))
		if down && r.URL.Path != "/v1/peak" {
			answerer.Refuse(w, http.StatusServiceUnavailable, "down", "fallen over")
			return
		}
		mux.ServeHTTP(w, r)
	}))
}

// take reads a request and lets it in; where it returns nil it has answered.
func (g *Generator) take(w http.ResponseWriter, r *http.Request, kind string) *stream {
	q, ok := answerer.Read[request](w, r, maxBody)
	if !ok {
		return nil
	}
	digests, err := g.parts(r.Context(), q.Imports)
	if err != nil {
		answerer.Refuse(w, http.StatusConflict, "import", err.Error())
		return nil
	}
	p := newPrompt(q.Prompt, g.config.Bytes, digests)
	q.ID = strings.Clone(q.ID) // not to keep the whole body
	q.VM = strings.Clone(q.VM)
	s, f := g.enter(q, kind, p)
	if f != nil {
		f.send(w)
		return nil
	}
	return s
}

func (g *Generator) generate(w http.ResponseWriter, r *http.Request) {
	s := g.take(w, r, kindStream)
	if s == nil {
		return
	}
	g.follow(w, r, s, 0)
}

// partAnswer says that a part was read.
type partAnswer struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
}

func (g *Generator) part(w http.ResponseWriter, r *http.Request) {
	s := g.take(w, r, kindPart)
	if s == nil {
		return
	}
	f := g.open(s, 0)
	defer f.close()
	for {
		v := f.look()
		if v.gone {
			panic(http.ErrAbortHandler)
		}
		if v.state == made {
			answerer.JSON(w, http.StatusOK, partAnswer{Handle: handleOf(s), Tokens: s.prompt.tokens})
			return
		}
		if !f.wait(r.Context()) {
			return
		}
	}
}

func (g *Generator) resume(w http.ResponseWriter, r *http.Request) {
	from, err := number(r, "from")
	if err != nil {
		answerer.Error(w, http.StatusBadRequest, "from", err.Error())
		return
	}
	g.mu.Lock()
	s := g.streams[r.PathValue("id")]
	known := s != nil && s.kind == kindStream && s.state < cut
	g.mu.Unlock()
	if !known {
		answerer.Error(w, http.StatusNotFound, "unknown", "no such stream")
		return
	}
	g.follow(w, r, s, int(min(from, uint64(s.tokens)))) //nolint:gosec // bounded by an int
}

// cancelAnswer says what became of a stream.
type cancelAnswer struct {
	State string `json:"state"`
}

func (g *Generator) cancel(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	s := g.streams[r.PathValue("id")]
	known := s != nil && s.state != stopped
	if known {
		g.release(s, stopped)
		s.state = stopped
	}
	g.mu.Unlock()
	if !known {
		answerer.JSON(w, http.StatusNotFound, cancelAnswer{"unknown"})
		return
	}
	answerer.JSON(w, http.StatusOK, cancelAnswer{"cancelled"})
}

// A listing is what holds memory or waits for it.
type listing struct {
	Boot    uint64   `json:"boot"`
	Streams []listed `json:"streams"`
}

type listed struct {
	ID     string `json:"id"`
	VM     string `json:"vm"`
	Boot   uint64 `json:"boot"`
	Kind   string `json:"kind"`
	Memory int    `json:"memory"`
	Age    int64  `json:"age_ms"`
}

func (g *Generator) list(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	now := g.config.Now()
	l := listing{Boot: g.warm.Boot(), Streams: []listed{}}
	for _, s := range g.streams {
		if !s.holds() {
			continue
		}
		memory := s.memory
		if s.state == waits {
			memory = 0
		}
		l.Streams = append(l.Streams, listed{
			s.id, s.vm, s.boot, s.kind, memory, now.Sub(s.since).Milliseconds(),
		})
	}
	g.mu.Unlock()
	slices.SortFunc(l.Streams, func(a, b listed) int { return strings.Compare(a.ID, b.ID) })
	answerer.JSON(w, http.StatusOK, l)
}

func (g *Generator) load(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	now := g.config.Now()
	shown := g.reports.Show(now)
	g.mu.Unlock()
	shown.Value.Age = now.Sub(shown.At).Milliseconds()
	answerer.JSON(w, http.StatusOK, shown.Value)
}

// eventsAnswer is a piece of the cache events.
type eventsAnswer struct {
	Boot   uint64  `json:"boot"`
	Next   uint64  `json:"next"`
	Events []event `json:"events"`
}

func (g *Generator) changes(w http.ResponseWriter, r *http.Request) {
	from, err := number(r, "from")
	if err != nil {
		answerer.Error(w, http.StatusBadRequest, "from", err.Error())
		return
	}
	g.mu.Lock()
	list, next := g.events.since(from, g.config.Now().Add(-g.config.Lag))
	boot := g.warm.Boot()
	g.mu.Unlock()
	answerer.JSON(w, http.StatusOK, eventsAnswer{boot, next, list})
}

func (g *Generator) peak(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	p := g.warm.Peak()
	g.mu.Unlock()
	answerer.JSON(w, http.StatusOK, p)
}

// number reads a query parameter, 0 where it is missing.
func number(r *http.Request, name string) (uint64, error) {
	v := r.URL.Query().Get(name)
	if v == "" {
		return 0, nil
	}
	return strconv.ParseUint(v, 10, 63)
}
