package commander

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/heathervane/heathervane/library/finder"
	"github.com/heathervane/heathervane/library/folder"
	"github.com/heathervane/heathervane/library/recorder"
	"github.com/heathervane/heathervane/operator/changer"
)

// checkResult is the result of checking a manifest without findings.
type checkResult struct {
	File      string `json:"file"`
	Models    int    `json:"models"`
	Services  int    `json:"services"`
	Upstreams int    `json:"upstreams"`
	Teams     int    `json:"teams"`
}

func (c checkResult) text() string {
	return fmt.Sprintf("%s: no findings; models %d, services %d, upstreams %d, teams %d\n",
		c.File, c.Models, c.Services, c.Upstreams, c.Teams)
}

// invalidManifest is the result for a manifest with findings, which is not
// published.
type invalidManifest struct {
	Outcome  folder.Outcome  `json:"outcome"`
	Findings finder.Findings `json:"findings"`
}

func (r invalidManifest) text() string { return formatFindings(r.Findings) }

func formatFindings(found finder.Findings) string {
	var b strings.Builder
	for _, f := range found {
		b.WriteString(f.String() + "\n")
	}
	return b.String()
}

// changeResult is the result of a change.
type changeResult changer.Result

func (m changeResult) text() string {
	var b strings.Builder
	b.WriteString(string(m.Outcome))
	if m.Offset != 0 {
		fmt.Fprintf(&b, " at offset %d", m.Offset)
	}
	if m.Reason != "" {
		b.WriteString(": " + m.Reason)
	}
	if m.Outcome == changer.Unknown {
		fmt.Fprintf(&b, "; its id is %s, look for it with vanectl audit", m.ID)
	}
	return b.String() + "\n" + formatFindings(m.Findings)
}

// auditTrail is the result of the audit command.
type auditTrail struct {
	Changes []recorder.Change `json:"changes"`
}

func (t auditTrail) text() string {
	var b strings.Builder
	for _, c := range t.Changes {
		verdict := string(folder.Accepted)
		if !c.Accepted {
			verdict = "refused: " + c.Reason
		}
		fmt.Fprintf(&b, "%d  %s  %s  %s  %s", c.Offset,
			time.UnixMilli(c.At).UTC().Format(time.RFC3339), c.Who, c.What, verdict)
		if c.Why != "" {
			b.WriteString("  (" + c.Why + ")")
		}
		b.WriteString("  " + c.ID + "\n")
	}
	return b.String()
}

// statusReport is the result of the status command.
type statusReport struct {
	// Version, Digest and Outs are those in force according to the log. Log is the
	// error if the log could not be read.
	Version uint64                `json:"version"`
	Digest  string                `json:"digest,omitempty"`
	Outs    recorder.OutOfService `json:"outs"`
	Read    uint64                `json:"read"`
	Log     string                `json:"log,omitempty"`
	VMs     []vmStatus            `json:"vms,omitempty"`
}

// vmStatus is the status that a VM reports, and the problem found with it, if any.
type vmStatus struct {
	Address string `json:"address"`
	health
	Problem string `json:"problem,omitempty"`
}

// health is the body of a VM's /status response.
type health struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	Ready   bool   `json:"ready"`
	Reason  string `json:"reason,omitempty"`
}

func (s statusReport) text() string {
	var b strings.Builder
	switch {
	case s.Log != "":
		fmt.Fprintf(&b, "log: %s\n", s.Log)
	case s.Version == 0:
		fmt.Fprintf(&b, "no manifest is in force, read up to %d\n", s.Read)
	default:
		fmt.Fprintf(&b, "version %d in force, digest %.12s, read up to %d\n", s.Version, s.Digest, s.Read)
	}
	for _, out := range []struct {
		kind  recorder.Target
		names map[string]uint64
	}{
		{recorder.TargetVM, s.Outs.VMs},
		{recorder.TargetZone, s.Outs.Zones},
		{recorder.TargetUpstream, s.Outs.Upstreams},
	} {
		for _, name := range slices.Sorted(maps.Keys(out.names)) {
			fmt.Fprintf(&b, "out: %s %s, by offset %d\n", out.kind, name, out.names[name])
		}
	}
	for _, v := range s.VMs {
		b.WriteString(v.text())
	}
	return b.String()
}

func (v vmStatus) text() string {
	if v.ID == "" {
		return fmt.Sprintf("%s: %s\n", v.Address, v.Problem)
	}
	s := fmt.Sprintf("%s %s: version %d, ready %t", v.Address, v.ID, v.Version, v.Ready)
	for _, more := range []string{v.Reason, v.Problem} {
		if more != "" {
			s += ", " + more
		}
	}
	return s + "\n"
}
