// Package planner turns an experiment's file into the list of all that will
// happen in it: which request is sent when by whom, and which fault or
// operator's action comes when. The list follows from the file and its seed
// alone, so that every policy meets the same load, and arrivals do not wait for
// answers, so that a stall does not thin out the load that it should meet.
package planner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/library/checker"
	"github.com/heathervane/heathervane/library/finder"
)

// An Experiment is what a file describes.
type Experiment struct {
	// Name is a short word for files and headings.
	Name string `toml:"name"`
	// Text says in a sentence what the experiment shows.
	Text string `toml:"text"`
	// Fleet is the size to start.
	Fleet string `toml:"fleet"`
	// Seed fixes all random choices.
	Seed uint64 `toml:"seed"`
	// Time is how long requests arrive. Requests under way then may end.
	Time checker.Duration `toml:"time"`
	// Skip is how long at the start nothing is measured.
	Skip checker.Duration `toml:"skip"`
	// Policies are played one after another, each on a fresh fleet.
	Policies []string `toml:"policies"`
	// Reference names the loads that are also played without the others, for
	// the slowdown and the goodput kept; empty plays no reference.
	Reference []string `toml:"reference"`
	// Loads are the streams of arrivals, Events what happens in time, Windows
	// the spans that are measured apart.
	Loads   []Load   `toml:"loads"`
	Events  []Event  `toml:"events"`
	Windows []Window `toml:"windows"`
}

// A Load is one Poisson stream of arrivals.
type Load struct {
	// Name is a short word.
	Name string `toml:"name"`
	// Kind is "question" or "booking".
	Kind string `toml:"kind"`
	// Rate is the mean of arrivals a second for each engine of the fleet, so
	// that one file loads fleets of different sizes alike.
	Rate float64 `toml:"rate"`
	// From and Till bound it in time; a Till of 0 means the end.
	From checker.Duration `toml:"from"`
	Till checker.Duration `toml:"till"`
	// Team sends it all; where it is empty, teams send by their shares, all
	// of them but Except.
	Team   string `toml:"team"`
	Except string `toml:"except"`
	// Least and Most bound the prompt in tokens, log-uniform between.
	Least int `toml:"least"`
	Most  int `toml:"most"`
	// Tail is the part of prompts that lie between Most and Top instead.
	Tail float64 `toml:"tail"`
	Top  int     `toml:"top"`
	// Keys is the number of documents that the prompts are about, the first
	// ones asked about most; 0 makes each prompt its own.
	Keys int `toml:"keys"`
	// Output is the answer's length in tokens.
	Output int `toml:"output"`
	// Limit is the time limit that callers ask for; 0 asks for none.
	Limit checker.Duration `toml:"limit"`
	// Twice is the part of bookings that are sent a second time under the
	// same key through another VM.
	Twice float64 `toml:"twice"`
}

// An Event is a fault or an operator's action at a time.
type Event struct {
	At checker.Duration `toml:"at"`
	// What is one of the words of Actions.
	What string `toml:"what"`
	// On is the process, or the zone as zone1 for the fleet's first.
	On string `toml:"on"`
	// By is the factor of slower.
	By float64 `toml:"by"`
}

// A Window is a span that is measured apart.
type Window struct {
	Name string           `toml:"name"`
	From checker.Duration `toml:"from"`
	Till checker.Duration `toml:"till"`
}

// Kinds of load.
const (
	Question = "question"
	Booking  = "booking"
)

// What an event may do.
const (
	Kill    = "kill"
	Freeze  = "freeze"
	Wake    = "wake"
	Restart = "restart"
	Stop    = "stop"
	Cold    = "cold"
	Slower  = "slower"
	Down    = "down"
	Mend    = "mend"
	ZoneOut = "out"
	ZoneIn  = "in"
)

// Actions are the words that an event's What may be.
func Actions() []string {
	return []string{Kill, Freeze, Wake, Restart, Stop, Cold, Slower, Down, Mend, ZoneOut, ZoneIn}
}

// Policies are the words that an experiment's policies may be: the program's
// own way and the baselines.
func Policies() []string {
	return []string{"own", "random", "least", "two", "first"}
}

// Read reads an experiment's text. The error lists all findings.
func Read(text string) (Experiment, error) {
	var e Experiment
	meta, err := toml.Decode(text, &e)
	if err != nil {
		return e, errs.Wrap(err)
	}
	var f finder.Findings
	for _, key := range meta.Undecoded() {
		f.Addf(key.String(), "unknown key")
	}
	e.fill()
	e.check(&f)
	return e, f.Err()
}

// fill sets what a file may leave out.
func (e *Experiment) fill() {
	if len(e.Policies) == 0 {
		e.Policies = Policies()[:1]
	}
	for i := range e.Loads {
		if e.Loads[i].Kind == "" {
			e.Loads[i].Kind = Question
		}
	}
}

// Check checks an experiment that was changed after it was read. The error
// lists all findings.
func Check(e *Experiment) error {
	var f finder.Findings
	e.check(&f)
	return f.Err()
}

func (e *Experiment) check(f *finder.Findings) {
	if e.Name == "" {
		f.Addf("name", "is missing")
	}
	if e.Time <= 0 {
		f.Addf("time", "must be more than 0")
	}
	if e.Skip < 0 || e.Skip >= e.Time {
		f.Addf("skip", "must lie between 0 and time")
	}
	if len(e.Loads) == 0 {
		f.Addf("loads", "there must be at least one")
	}
	for i, p := range e.Policies {
		oneOf(f, fmt.Sprintf("policies[%d]", i), p, Policies())
	}
	var names []string
	for i := range e.Loads {
		e.Loads[i].check(f, fmt.Sprintf("loads[%d]", i))
		names = append(names, e.Loads[i].Name)
	}
	for i, name := range e.Reference {
		oneOf(f, fmt.Sprintf("reference[%d]", i), name, names)
	}
	for i, v := range e.Events {
		oneOf(f, fmt.Sprintf("events[%d].what", i), v.What, Actions())
	}
	for i, w := range e.Windows {
		if w.Name == "" || w.Till <= w.From {
			f.Addf(fmt.Sprintf("windows[%d]", i), "needs a name and a till after from")
		}
	}
}

func (l *Load) check(f *finder.Findings, place string) {
	if l.Name == "" {
		f.Addf(place+".name", "is missing")
	}
	oneOf(f, place+".kind", l.Kind, []string{Question, Booking})
	if l.Rate <= 0 {
		f.Addf(place+".rate", "must be more than 0")
	}
	if l.Kind == Question && (l.Least < 1 || l.Most < l.Least) {
		f.Addf(place+".least", "needs 1 or more, and most no less")
	}
	if l.Kind == Question && l.Output < 1 {
		f.Addf(place+".output", "must be at least 1")
	}
	if l.Tail > 0 && l.Top <= l.Most {
		f.Addf(place+".top", "must be more than most where there is a tail")
	}
}

func oneOf(f *finder.Findings, place, word string, known []string) {
	if !slices.Contains(known, word) {
		f.Addf(place, "is %q, not one of %s", word, strings.Join(known, ", "))
	}
}

// Only returns the experiment with just the named loads and without events.
func (e Experiment) Only(names []string) Experiment {
	e.Loads = slices.DeleteFunc(slices.Clone(e.Loads), func(l Load) bool {
		return !slices.Contains(names, l.Name)
	})
	e.Events = nil
	return e
}

// Span is the time of arrivals.
func (e Experiment) Span() time.Duration { return time.Duration(e.Time) }
