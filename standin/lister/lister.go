// Package lister is a test double of the platform's list of VMs, which lags behind.
package lister

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/heathervane/heathervane/standin/answerer"
	"github.com/heathervane/heathervane/standin/delayer"
	"github.com/heathervane/heathervane/standin/faulter"
)

// A Config configures a Lister.
type Config struct {
	// Lag is the time by which the list lags.
	Lag time.Duration
	// Now returns the current time.
	Now func() time.Time
}

// A vm is an entry of the list, as callers get it.
type vm struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// maxVM is the maximum size of an entry in bytes.
const maxVM = 4 << 10

// A Lister is a list of VMs. It is safe for concurrent use.
type Lister struct {
	config Config
	faults *faulter.Faulter

	mu   sync.Mutex
	vms  []vm // sorted by id, never changed in place
	late *delayer.Delayer[[]vm]
}

// New returns an empty Lister.
func New(c Config) *Lister {
	return &Lister{
		config: c,
		faults: faulter.New(nil),
		vms:    []vm{},
		late:   delayer.New(c.Lag, c.Now(), []vm{}),
	}
}

// Handler serves the list, changes to it, and the injection of faults.
func (l *Lister) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", l.list)
	mux.HandleFunc("PUT /vms/{id}", l.put)
	mux.HandleFunc("DELETE /vms/{id}", l.delete)
	return l.faults.Wrap(mux)
}

// listAnswer is the response with the list.
type listAnswer struct {
	VMs []vm `json:"vms"`
}

func (l *Lister) list(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	shown := l.late.Show(l.config.Now())
	l.mu.Unlock()
	answerer.JSON(w, http.StatusOK, listAnswer{shown.Value})
}

func (l *Lister) put(w http.ResponseWriter, r *http.Request) {
	v, ok := answerer.Read[vm](w, r, maxVM)
	if !ok {
		return
	}
	v.ID = r.PathValue("id")
	if v.State == "" {
		v.State = "live"
	}
	if v.State != "live" && v.State != "leaving" {
		answerer.Error(w, http.StatusBadRequest, "state", "state must be live or leaving")
		return
	}
	l.set(v.ID, &v)
	answerer.JSON(w, http.StatusOK, v)
}

func (l *Lister) delete(w http.ResponseWriter, r *http.Request) {
	l.set(r.PathValue("id"), nil)
	answerer.JSON(w, http.StatusOK, struct{}{})
}

// set replaces an entry, or removes it if v is nil.
func (l *Lister) set(id string, v *vm) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(l.vms), func(o vm) bool { return o.ID == id })
	if v != nil {
		list = append(list, *v)
		slices.SortFunc(list, func(a, b vm) int { return strings.Compare(a.ID, b.ID) })
	}
	l.vms = list
	l.late.Note(l.config.Now(), list)
}
