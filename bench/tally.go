package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/bench/tallier"
)

// A tallying is the subcommand tally.
type tallying struct {
	log  string
	cuts []string
}

func (t *tallying) command() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("tally")
	c.Description = "Count, from the logs of a fleet, callers' first tries at VMs that were cut off from all upstreams and at the others"
	c.AddPositionalValue(&t.log, "log", 1, true, "file with the log lines of all VMs, each after its time in seconds and the VM's name")
	c.StringSlice(&t.cuts, "c", "cut", "begin and end of a cut in seconds, such as 4-14; may be repeated")
	return c
}

func (t *tallying) run(context.Context) error {
	var cuts []tallier.Cut
	for _, text := range t.cuts {
		c, err := parseCut(text)
		if err != nil {
			return err
		}
		cuts = append(cuts, c)
	}
	f, err := os.Open(t.log)
	if err != nil {
		return errs.Wrap(err)
	}
	defer f.Close()
	tallies, err := tallier.Count(f, cuts)
	if err != nil {
		return errs.Wrap(err)
	}
	for _, one := range tallies {
		there, elsewhere := tallier.Sum(one.CutOff), tallier.Sum(one.Others)
		verdict := "holds"
		if !one.Holds() {
			verdict = "BROKEN"
		}
		fmt.Printf("cut %g-%g s: %d VMs cut off served %d of %d first tries (%d forwarded), %d others %d of %d: %s\n", one.Begin, one.End,
			len(one.CutOff), there.Served, there.Sent, there.Forwarded, len(one.Others), elsewhere.Served, elsewhere.Sent, verdict)
	}
	return nil
}

func parseCut(text string) (c tallier.Cut, err error) {
	begin, end, ok := strings.Cut(text, "-")
	if !ok {
		return c, errs.New("a cut has a begin and an end, such as 4-14, not %q", text)
	}
	if c.Begin, err = strconv.ParseFloat(begin, 64); err != nil {
		return c, errs.Wrap(err)
	}
	c.End, err = strconv.ParseFloat(end, 64)
	return c, errs.Wrap(err)
}
