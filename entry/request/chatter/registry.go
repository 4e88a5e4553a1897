package chatter

import "sync"

// A registry holds the ids of what this process has at engines. The sweep of an
// engine's list cancels what stands there under this process's boot number and
// is not in here.
type registry struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

func newRegistry() *registry {
	return &registry{ids: make(map[string]struct{})}
}

func (r *registry) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids[id] = struct{}{}
}

func (r *registry) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.ids, id)
}

func (r *registry) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.ids[id]
	return ok
}
