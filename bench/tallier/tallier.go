// Package tallier counts from the logs of a fleet how VMs that are cut off from all
// upstreams serve callers' first tries, compared with the other VMs.
package tallier

import (
	"bufio"
	"encoding/json"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

const (
	// stableWindow is the time in seconds after the begin of a cut from which VMs are
	// compared.
	stableWindow = 3
	// minFailedUpstreams is the number of upstreams to which a VM that is cut off fails to
	// connect during a cut.
	minFailedUpstreams = 4
	// maxLineBytes bounds the length of a line.
	maxLineBytes = 1 << 20
	// firstServerError is the lowest status of a request that was not served.
	firstServerError = 500
)

// A Cut is the time of a cut in seconds.
type Cut struct{ Begin, End float64 }

// Tries are how many first tries were served, of how many, and how many of them were
// forwarded to other VMs.
type Tries struct{ Served, Sent, Forwarded int }

func (t *Tries) add(o Tries) {
	t.Served += o.Served
	t.Sent += o.Sent
	t.Forwarded += o.Forwarded
}

// A Tally is the result for one cut.
type Tally struct {
	Cut
	// CutOff and Others are the tries by VM.
	CutOff, Others map[string]Tries
}

// Sum returns the tries of all VMs.
func Sum(m map[string]Tries) (sum Tries) {
	for _, t := range m {
		sum.add(t)
	}
	return sum
}

// Holds reports whether callers of the VMs that are cut off are served at least two thirds
// as often as others, or no more than 10 and 1 in 50 of all first tries fail there.
func (t *Tally) Holds() bool {
	there, elsewhere := Sum(t.CutOff), Sum(t.Others)
	seldom := 3*there.Served*elsewhere.Sent < 2*elsewhere.Served*there.Sent
	return !seldom || there.Sent-there.Served <= 10+(there.Sent+elsewhere.Sent)/50
}

// A line is a log line, with the time at which it was written in seconds.
type line struct {
	at                         float64
	VM, ID, Fingerprint, Route string
	Message, Upstream, Cause   string
	From, Peer                 string
	Status                     int
	Took                       float64
}

// prefixed is a line with the time and the VM before the JSON text.
var prefixed = regexp.MustCompile(`^\s*(-?[0-9.]+) \S+ (\{.*\})\s*$`)

func parse(text string) (l line, ok bool) {
	parts := prefixed.FindStringSubmatch(text)
	if parts == nil {
		return l, false
	}
	at, err := strconv.ParseFloat(parts[1], 64)
	if err != nil || json.Unmarshal([]byte(parts[2]), &l) != nil {
		return l, false
	}
	l.at = at
	return l, true
}

// Count reads a log and returns a tally of each cut.
func Count(log io.Reader, cuts []Cut) ([]Tally, error) {
	var requests, failures []line
	s := bufio.NewScanner(log)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		switch l, ok := parse(s.Text()); {
		case !ok:
		case l.Message == "request" && l.Route != "" && l.Fingerprint != "" && l.From == "":
			l.at -= l.Took / 1000
			requests = append(requests, l)
		case l.Message == "attempt failed" && isConnectionFailure(l.Cause):
			failures = append(failures, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, err
	}
	first := firstTries(requests)
	tallies := make([]Tally, len(cuts))
	for i, c := range cuts {
		tallies[i] = tally(first, failures, c)
	}
	return tallies, nil
}

func isConnectionFailure(cause string) bool {
	return slices.ContainsFunc([]string{"dial tcp", "connection reset", "timed out", "timeout", "stalled"}, func(part string) bool {
		return strings.Contains(cause, part)
	})
}

// firstTries returns the first line of each request: a caller's retry has another ID and
// the same fingerprint.
func firstTries(requests []line) (first []line) {
	slices.SortStableFunc(requests, func(a, b line) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		}
		return 0
	})
	seen := make(map[string]bool)
	for _, l := range requests {
		if !seen[l.Fingerprint] {
			seen[l.Fingerprint] = true
			first = append(first, l)
		}
	}
	return first
}

func tally(first, failures []line, c Cut) Tally {
	failed := make(map[string]map[string]bool)
	for _, l := range failures {
		if l.at < c.Begin || l.at > c.End {
			continue
		}
		if failed[l.VM] == nil {
			failed[l.VM] = make(map[string]bool)
		}
		failed[l.VM][l.Upstream] = true
	}
	t := Tally{Cut: c, CutOff: make(map[string]Tries), Others: make(map[string]Tries)}
	for _, l := range first {
		if l.at < c.Begin+stableWindow || l.at > c.End {
			continue
		}
		tries := Tries{Sent: 1}
		if l.Status > 0 && l.Status < firstServerError {
			tries.Served = 1
		}
		if l.Peer != "" {
			tries.Forwarded = 1
		}
		byVM := t.Others
		if len(failed[l.VM]) >= minFailedUpstreams {
			byVM = t.CutOff
		}
		tries.add(byVM[l.VM])
		byVM[l.VM] = tries
	}
	return t
}
