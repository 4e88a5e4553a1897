package main

import (
	"sync"
	"time"
)

// stretchMs is the shortest stretch that LEAK and STUCK count.
const stretchMs = 2 * time.Second

// A tenure is a stretch for which a ticket held memory at a runner.
type tenure struct {
	from, to time.Time
	tokens   int
}

// ticketLog records which tickets held memory when, and when requests used them.
type ticketLog struct {
	mu      sync.Mutex
	tenures map[string][]*tenure
	// lastUse is when the last request that used a ticket ended; zero while one uses it.
	lastUse map[string]time.Time
}

func (l *ticketLog) onTicket(name string, held bool, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if held {
		l.tenures[name] = append(l.tenures[name], &tenure{from: time.Now(), tokens: tokens})
		return
	}
	if all := l.tenures[name]; len(all) > 0 {
		all[len(all)-1].to = time.Now()
	}
}

func (l *ticketLog) use(names map[string]string, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		l.lastUse[name] = time.Time{}
		if ended {
			l.lastUse[name] = time.Now()
		}
	}
}

// unused returns how many tickets that no request has used held memory for stretchMs or more
// beyond IdleMaxMs.
func (l *ticketLog) unused() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, all := range l.tenures {
		if _, used := l.lastUse[name]; used {
			continue
		}
		for _, t := range all {
			to := t.to
			if to.IsZero() {
				to = time.Now()
			}
			if to.Sub(t.from) >= idleMaxMs+stretchMs {
				n++
				say("ticket %s: %d tokens are set aside for %.1f s, and no request has used them", name, t.tokens, to.Sub(t.from).Seconds())
			}
		}
	}
	return n
}
