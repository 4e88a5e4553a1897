package limiter_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/heathervane/heathervane/entry/process/limiter"
)

func TestLimit(t *testing.T) {
	type step = func(*limiter.Limiter)
	completed := func(n int) step { return func(l *limiter.Limiter) { l.Completed(n) } }
	turned := func(boot uint64) step { return func(l *limiter.Limiter) { l.TurnedCold(boot) } }
	reported := func(boot uint64, cold bool) step { return func(l *limiter.Limiter) { l.Reported(boot, cold) } }
	returned := func(l *limiter.Limiter) { l.ZoneRestored() }
	tests := []struct {
		name  string
		steps []step
		limit int
		cold  bool
	}{
		{"starts cold", nil, 2, true},
		{"not yet", []step{completed(1)}, 2, true},
		{"doubles", []step{completed(2)}, 4, false},
		{"doubles again for twice as much", []step{completed(2), completed(3)}, 4, false},
		{"doubles again", []step{completed(2), completed(4)}, 8, false},
		{"stops at the slots", []step{completed(1000)}, 32, false},
		{"falls at once", []step{completed(1000), turned(7)}, 2, true},
		{"rises again", []step{completed(1000), turned(7), completed(2)}, 4, false},
		{"reported cold stays", []step{reported(7, true), completed(1000)}, 2, true},
		{"reported warm rises", []step{reported(7, false), completed(2)}, 4, false},
		{"reported cold falls", []step{reported(7, false), completed(1000), reported(7, true)}, 2, true},
		{"another boot falls", []step{reported(7, false), completed(1000), reported(8, false)}, 2, true},
		{"late report of the boot before", []step{reported(7, false), turned(8), reported(7, false), completed(1000)}, 2, true},
		{"report of the new boot", []step{reported(7, false), turned(8), reported(8, false), completed(2)}, 4, false},
		{"zone back, warm", []step{completed(1000), returned}, 16, false},
		{"zone back, rises", []step{completed(1000), returned, completed(16)}, 32, false},
		{"zone back, cold", []step{turned(7), returned}, 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := limiter.New(32, 2)
			for _, s := range tt.steps {
				s(l)
			}
			assert.Equal(t, l.Limit(), tt.limit)
			assert.Equal(t, l.Cold(), tt.cold)
		})
	}
}

func TestNewBounds(t *testing.T) {
	assert.Equal(t, limiter.New(0, 0).Limit(), 1)
	assert.Equal(t, limiter.New(4, 9).Limit(), 4)
	assert.Assert(t, !limiter.New(4, 4).Cold())
}

// An upstream turns cold without warning and crashes when it gets more requests
// than its cold capacity. It is warm after ten completed requests and reports so
// with a delay. A crash cuts all streams, so the limit must never exceed the cold
// capacity before then.
func TestLimitNeverExceedsColdCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const coldSlots, warmAfter = 2, 10
		l := limiter.New(32, coldSlots)
		boot, done := uint64(1), 0
		type report struct {
			boot uint64
			cold bool
		}
		delayed := report{boot, true}
		l.Reported(boot, true)
		t.Repeat(map[string]func(*rapid.T){
			"complete": func(*rapid.T) {
				l.Completed(l.Limit())
				done += l.Limit()
			},
			"report": func(*rapid.T) {
				l.Reported(delayed.boot, delayed.cold)
				delayed = report{boot, done < warmAfter}
			},
			"turn": func(*rapid.T) {
				boot++
				done = 0
				l.TurnedCold(boot)
			},
			"": func(t *rapid.T) {
				if done < warmAfter && l.Limit() > coldSlots {
					t.Fatalf("limit %d after %d completed requests", l.Limit(), done)
				}
			},
		})
	})
}
