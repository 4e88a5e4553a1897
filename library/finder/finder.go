// Package finder collects findings about an input, each with its place, so
// that a person sees all of them at once instead of one per attempt. It does
// not decide what is wrong: the readers of manifests and settings do.
package finder

import (
	"fmt"
	"strings"
)

// A Finding is one thing wrong with an input.
type Finding struct {
	// Place is where it stands: a dotted path such as upstreams.e1.zone, or
	// a line such as line 12.
	Place string `json:"place"`
	// Text says what is wrong, as one lower-case sentence without a full stop.
	Text string `json:"text"`
	// Hint names what was probably meant; it may be empty.
	Hint string `json:"hint,omitempty"`
}

// String gives the finding on one line.
func (f Finding) String() string {
	s := f.Place + ": " + f.Text
	if f.Hint != "" {
		s += " (did you mean " + f.Hint + "?)"
	}
	return s
}

// Findings are all that is wrong with one input, in the order of reading.
type Findings []Finding

// MaxFindings bounds the findings about one input. A hostile input could otherwise
// have a hundred thousand, each with a hint that is searched among all names.
const MaxFindings = 100

// Addf appends a finding at a place, up to Most.
func (f *Findings) Addf(place, format string, args ...any) {
	if f.room() {
		*f = append(*f, Finding{Place: place, Text: fmt.Sprintf(format, args...)})
	}
}

// AddHintf appends a finding about a word, up to Most, with the candidate that the
// word was probably meant to be.
func (f *Findings) AddHintf(place, word string, candidates []string, format string, args ...any) {
	if f.room() {
		text := fmt.Sprintf(format, args...)
		*f = append(*f, Finding{Place: place, Text: text, Hint: Nearest(word, candidates)})
	}
}

// room says whether a finding more is listed, and ends a full list with a word
// that there are more.
func (f *Findings) room() bool {
	if len(*f) == MaxFindings-1 {
		*f = append(*f, Finding{Place: "line 1", Text: "more findings than are listed here"})
	}
	return len(*f) < MaxFindings
}

// Err returns nil where nothing was found, else an error that lists all.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return &Error{Findings: f}
}

// An Error is an input refused for its findings.
type Error struct {
	Findings Findings
}

// Error lists the findings, one a line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
