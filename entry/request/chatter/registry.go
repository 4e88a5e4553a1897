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

func (s *idSet) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids[id] = struct{}{}
}

func (s *idSet) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.ids, id)
}

func (s *idSet) contains(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.ids[id]
	return ok
}
