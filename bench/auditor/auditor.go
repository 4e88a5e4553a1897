// Package auditor reads the fault matrix of docs/FAULTS.md and says where it is
// not whole: a table without one of the faults, a blank cell, or a cell that
// names a test that the workspace does not have. It does not run tests, and it
// does not judge whether a test shows what its cell says.
package auditor

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/heathervane/heathervane/library/finder"
)

// Unproved begins a cell for which no test brings the fault about.
const Unproved = "not proved"

// Excluded begins a cell that says why the fault can't come at its step.
const Excluded = "no:"

// leastReason is the number of words that a reason in an Excluded cell has at
// least; fewer say nothing to a reader.
const leastReason = 3

// named finds the tests that a cell names, such as `deduplicator.TestWinnerGone`.
var named = regexp.MustCompile("`([a-z]+\\.(?:Test|Fuzz)[A-Za-z0-9_]*)`")

// rule is the row that parts a table's header from its body.
var rule = regexp.MustCompile(`^\|(\s*:?-+:?\s*\|)+$`)

// A Cell is one step under one fault.
type Cell struct {
	// Line is where the cell stands in the page, from 1.
	Line        int
	Step, Fault string
	Text        string
}

// Tests are the tests that the cell names, as folder.Test.
func (c Cell) Tests() []string {
	var names []string
	for _, m := range named.FindAllStringSubmatch(c.Text, -1) {
		names = append(names, m[1])
	}
	return names
}

// A Table is the matrix of one path.
type Table struct {
	// Path is the heading above the table.
	Path string
	// Line is where the table's header stands, from 1.
	Line   int
	Faults []string
	Cells  []Cell
}

// A Page is all tables of a page whose header begins with the word step.
type Page struct {
	Tables []Table
	// Ragged are the rows that have another number of cells than their header.
	Ragged finder.Findings
}

// Read reads a page in Markdown. An error is the reader's.
func Read(r io.Reader) (Page, error) {
	var p Page
	var heading string
	var table *Table
	lines := bufio.NewScanner(r)
	for at := 1; lines.Scan(); at++ {
		line := strings.TrimSpace(lines.Text())
		if title, ok := strings.CutPrefix(line, "## "); ok {
			heading = title
		}
		switch {
		case !strings.HasPrefix(line, "|"):
			table = nil
		case rule.MatchString(line):
		case table != nil:
			p.row(table, at, cells(line))
		case strings.EqualFold(cells(line)[0], "step"):
			p.Tables = append(p.Tables, Table{Path: heading, Line: at, Faults: cells(line)[1:]})
			table = &p.Tables[len(p.Tables)-1]
		}
	}
	return p, lines.Err()
}

// cells splits a row at its bars.
func cells(line string) []string {
	parts := strings.Split(strings.TrimSuffix(strings.TrimPrefix(line, "|"), "|"), "|")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

func (p *Page) row(t *Table, at int, row []string) {
	if len(row) != len(t.Faults)+1 {
		p.Ragged.Addf(place(at), "%s: %d cells under a header of %d", row[0], len(row), len(t.Faults)+1)
		return
	}
	for i, text := range row[1:] {
		t.Cells = append(t.Cells, Cell{Line: at, Step: row[0], Fault: t.Faults[i], Text: text})
	}
}

func place(line int) string { return fmt.Sprintf("line %d", line) }

// Check says what the page lacks: one of the paths, one of the faults in a
// table, the content of a cell, or a test among those that exist.
func (p Page) Check(paths, faults []string, tests map[string]bool) finder.Findings {
	list := slices.Clone(p.Ragged)
	var seen []string
	for _, t := range p.Tables {
		seen = append(seen, t.Path)
		if !slices.Equal(t.Faults, faults) {
			list.Addf(place(t.Line), "%s: the columns are %q, not %q", t.Path, t.Faults, faults)
		}
		if len(t.Cells) == 0 {
			list.Addf(place(t.Line), "%s: the table has no rows", t.Path)
		}
		for _, c := range t.Cells {
			c.check(&list, tests)
		}
	}
	for _, path := range paths {
		if !slices.Contains(seen, path) {
			list.Addf(place(1), "no table for the path %s", path)
		}
	}
	return list
}

func (c Cell) check(list *finder.Findings, tests map[string]bool) {
	names := c.Tests()
	reason, excluded := strings.CutPrefix(c.Text, Excluded)
	switch {
	case c.Text == "":
		list.Addf(place(c.Line), "%s, %s: the cell is blank", c.Step, c.Fault)
	case excluded && len(strings.Fields(reason)) < leastReason:
		list.Addf(place(c.Line), "%s, %s: the cell gives no reason", c.Step, c.Fault)
	case !excluded && len(names) == 0 && !strings.HasPrefix(c.Text, Unproved):
		list.Addf(place(c.Line), "%s, %s: %q names no test", c.Step, c.Fault, c.Text)
	}
	for _, name := range names {
		if !tests[name] {
			list.Addf(place(c.Line), "%s, %s: there is no test %s", c.Step, c.Fault, name)
		}
	}
}

// Count says how many cells name a test, are not proved, and are excluded.
func (p Page) Count() (proved, unproved, excluded int) {
	for _, t := range p.Tables {
		for _, c := range t.Cells {
			switch {
			case strings.HasPrefix(c.Text, Excluded):
				excluded++
			case strings.HasPrefix(c.Text, Unproved):
				unproved++
			default:
				proved++
			}
		}
	}
	return proved, unproved, excluded
}
