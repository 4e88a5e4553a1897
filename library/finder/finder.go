// Package finder collects the problems found in an input, each with its
// location, so that a user sees all of them at once instead of one per attempt.
// It doesn't decide what is wrong; the validators of manifests and settings do.
package finder

import (
	"fmt"
	"strings"
)

// A Finding is one problem in an input.
type Finding struct {
	// Place is the location: a dotted path such as upstreams.e1.zone, or a line
	// such as line 12.
	Place string `json:"place"`
	// Text describes the problem as one lower-case sentence without a full
	// stop.
	Text string `json:"text"`
	// Hint is the name that was probably meant; it may be empty.
	Hint string `json:"hint,omitempty"`
}

// String formats the finding on one line.
func (f Finding) String() string {
	s := f.Place + ": " + f.Text
	if f.Hint != "" {
		s += " (did you mean " + f.Hint + "?)"
	}
	return s
}

// Findings are all problems in one input, in the order in which they were
// found.
type Findings []Finding

// MaxFindings is the maximum number of findings about one input. A hostile
// input could otherwise cause a hundred thousand, each with a hint that is
// searched for among all names.
const MaxFindings = 100

// Addf appends a finding, unless the list is full.
func (f *Findings) Addf(place, format string, args ...any) {
	if f.hasRoom() {
		*f = append(*f, Finding{Place: place, Text: fmt.Sprintf(format, args...)})
	}
}

// AddHintf appends a finding with the candidate nearest to word as its hint,
// unless the list is full.
func (f *Findings) AddHintf(place, word string, candidates []string, format string, args ...any) {
	if f.hasRoom() {
		text := fmt.Sprintf(format, args...)
		*f = append(*f, Finding{Place: place, Text: text, Hint: Nearest(word, candidates)})
	}
}

// hasRoom reports whether another finding may be appended. The last entry of a
// full list says that findings were left out.
func (f *Findings) hasRoom() bool {
	if len(*f) == MaxFindings-1 {
		*f = append(*f, Finding{Place: "line 1", Text: "more findings than are listed here"})
	}
	return len(*f) < MaxFindings
}

// Err returns nil if there are no findings, and otherwise an *Error that lists
// them.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return &Error{Findings: f}
}

// An Error reports an input that was refused because of its findings.
type Error struct {
	Findings Findings
}

// Error lists the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
