package chatter

import "sync"

// An idSet holds the IDs of the streams and prompt parts that this process has
// at engines. The sweep of an engine cancels whatever the engine lists under
// this process's boot number that is not in the set.
type idSet struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

func newIDSet() *idSet {
	return &idSet{ids: make(map[string]struct{})}
}

func (r *idSet) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids[id] = struct{}{}
}

func (r *idSet) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.ids, id)
}

func (r *idSet) contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.ids[id]
	return ok
}
