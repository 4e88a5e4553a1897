package generator

import (
	"net/http"
	"time"

	"github.com/heathervane/heathervane/standin/answerer"
)

// kinds of orders.
const (
	orderLoad = "load"
	orderRole = "role"
)

// An order is the body of a call that changes what the engine serves.
type order struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// order carries out an order, or says why not. An engine without fencing obeys
// any order, also an old one that comes late.
func (g *Generator) order(o order) *refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.config.Fencing && o.Fence < g.model.fence {
		return refuse(http.StatusConflict, "fence", "fence %d, seen %d", o.Fence, g.model.fence)
	}
	switch o.Kind {
	case orderLoad:
		g.model.next = &o
		g.model.ready = g.config.Now().Add(g.config.Load)
	case orderRole:
		g.model.role = o.Role
	default:
		return refuse(http.StatusBadRequest, "body", "kind %q is neither load nor role", o.Kind)
	}
	g.model.fence = max(g.model.fence, o.Fence)
	return nil
}

// loaded puts a model in service whose load time is over. Until then the old
// one serves; streams of the old one run on. Its prefixes are of no use.
func (g *Generator) loaded(now time.Time) {
	next := g.model.next
	if next == nil || now.Before(g.model.ready) {
		return
	}
	g.model.name, g.model.version, g.model.next = next.Model, next.Version, nil
	for _, head := range g.cache.clear() {
		g.event(drop, head)
	}
}

func (g *Generator) orders(w http.ResponseWriter, r *http.Request) {
	o, ok := answerer.Read[order](w, r, maxOrder)
	if !ok {
		return
	}
	if f := g.order(o); f != nil {
		f.send(w)
		return
	}
	answerer.JSON(w, http.StatusAccepted, struct{}{})
}
