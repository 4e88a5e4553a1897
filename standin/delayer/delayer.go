// Package delayer keeps the recent values of a variable and returns the value as of some
// time ago, as load reports and the list of VMs lag behind. It reads no clock and is not
// safe for concurrent use.
package delayer

import (
	"time"
)

// minTrim is the number of outdated values from which they are removed.
const minTrim = 64

// A Delayer holds the values of the last lag.
type Delayer[T any] struct {
	lag  time.Duration
	list []Aged[T] // never empty, the oldest first
}

// Aged is a value with the time at which it was set.
type Aged[T any] struct {
	At    time.Time
	Value T
}

// New returns a Delayer whose value is v.
func New[T any](lag time.Duration, now time.Time, v T) *Delayer[T] {
	return &Delayer[T]{lag: lag, list: []Aged[T]{{now, v}}}
}

// Note sets the current value.
func (d *Delayer[T]) Note(now time.Time, v T) {
	d.list = append(d.list, Aged[T]{now, v})
	if i := d.find(now); i >= minTrim {
		d.list = append(d.list[:0], d.list[i:]...)
	}
}

// Noted returns the time at which the current value was set.
func (d *Delayer[T]) Noted() time.Time { return d.list[len(d.list)-1].At }

// Show returns the value as of a lag ago. Its time is not older than that, because a value
// that has not changed since was still current then.
func (d *Delayer[T]) Show(now time.Time) Aged[T] {
	shown := d.list[d.find(now)]
	if until := now.Add(-d.lag); shown.At.Before(until) {
		shown.At = until
	}
	return shown
}

// find returns the index of the newest value that is at least a lag old, or 0 if there is
// none.
func (d *Delayer[T]) find(now time.Time) int {
	until := now.Add(-d.lag)
	for i := len(d.list) - 1; i > 0; i-- {
		if !d.list[i].At.After(until) {
			return i
		}
	}
	return 0
}
