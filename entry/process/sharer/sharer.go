// Package sharer decides which waiting requests are due by the shares of their classes.
// It answers a load of urgent requests that lasts for many seconds, under which strict
// order by priority would never serve the least urgent, or the longest of a kind. It
// doesn't order requests within a class, and places nothing.
//
// A Sharer is an account of service. What a class is served is divided by weight among
// all classes that wait, and taken from the class served. A class whose credit covers the
// cost of a request is due, and goes before all that are not. So each class that keeps
// waiting gets its share of all service but for the cost of a few requests, and what it
// does not use is left to the others in the order of their priorities.
package sharer

// A Class is the requests that share an account.
type Class struct {
	// Priority is the requests' priority; 0 is the most urgent.
	Priority int
	// Size is the size class of the prompts. All sizes of a priority that wait have the
	// same part of its weight.
	Size int
}

// A Sharer holds the accounts of the classes of one service. It is not safe for
// concurrent use.
type Sharer struct {
	credits map[Class]float64
	waiting map[Class]bool
	// sizes is the number of waiting sizes of each priority.
	sizes map[int]int
}

// New returns a Sharer without accounts.
func New() *Sharer { return &Sharer{credits: make(map[Class]float64)} }

// SetWaiting replaces the classes that have waiting requests. A class that no longer
// waits loses its account: credit kept from one burst would displace others in the next.
func (s *Sharer) SetWaiting(waiting map[Class]bool) {
	s.waiting, s.sizes = waiting, make(map[int]int)
	for c := range waiting {
		s.sizes[c.Priority]++
	}
	for c := range s.credits {
		if !waiting[c] {
			delete(s.credits, c)
		}
	}
}

// Serve records that a request of a class was served, at a cost of any unit. weight
// returns the weight of a priority. If no other class waits, the request costs nothing:
// it used what nobody else wanted.
func (s *Sharer) Serve(class Class, cost float64, weight func(priority int) float64) {
	if !s.waiting[class] {
		return
	}
	total := 0.0
	for priority := range s.sizes {
		total += weight(priority)
	}
	for c := range s.waiting {
		s.credits[c] += cost * weight(c.Priority) / total / float64(s.sizes[c.Priority])
	}
	s.credits[class] -= cost
}

// Due reports whether the credit of a class covers a request of the given cost.
func (s *Sharer) Due(class Class, cost float64) bool {
	return len(s.waiting) > 1 && s.credits[class] >= cost
}

// Weight returns the weight of a priority, given those that the settings name by rank, from
// 0 for the most urgent priority of a service, and the priorities of the service in
// ascending order. A rank that the settings leave out has half of the weight of the one
// before, and the first has the weight 1.
func Weight(settings map[int]float64, priorities []int, priority int) float64 {
	weight := 1.0
	for i, p := range priorities {
		if p > priority {
			break
		}
		if set, ok := settings[i]; ok {
			weight = set
		} else if i > 0 {
			weight /= 2
		}
	}
	return weight
}
