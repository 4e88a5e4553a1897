package commander

import (
	"io"
	"maps"
	"os"
	"os/user"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/heathervane/heathervane/library/finder"
)

// options are the values of all flags and positions.
type options struct {
	log   string
	list  string
	json  bool
	limit time.Duration
	vms   []string

	who  string
	why  string
	base string
	anew bool

	file string
	name string
}

const defaultLimit = 15 * time.Second

// names of the commands, and of those that take a direction.
var (
	commands   = []string{"check", "publish", "vm", "zone", "upstream", "status", "audit"}
	directed   = []string{"vm", "zone", "upstream"}
	directions = []string{"out", "in"}

	// valued and plain are the flags with and without a value.
	valued = []string{"--log", "--list", "--limit", "--vm", "--who", "--why", "--base"}
	plain  = []string{"--json", "--anew", "--help", "-h"}
)

const exits = `exit codes: 0 accepted, or all is well; 1 refused, or findings; 2 wrong use;
3 unknown: the change may have landed or may still land; 4 the platform was not
reached, and nothing has changed`

// words finds mistakes in the arguments that the flag library answers without
// a hint, and says what was probably meant.
func words(args []string) (finder.Findings, []string) {
	var found finder.Findings
	var bare []string
	for i := 0; i < len(args); i++ {
		name, _, assigned := strings.Cut(args[i], "=")
		switch {
		case !strings.HasPrefix(name, "-"):
			bare = append(bare, args[i])
		case slices.Contains(valued, name):
			if !assigned {
				i++
			}
		case !slices.Contains(plain, name):
			found.AddHintf(name, name, slices.Concat(valued, plain), "unknown flag")
		}
	}
	if len(bare) == 0 {
		return found, bare
	}
	if !slices.Contains(commands, bare[0]) {
		found.AddHintf(bare[0], bare[0], commands, "unknown command")
		return found, bare
	}
	if slices.Contains(directed, bare[0]) && len(bare) > 1 && !slices.Contains(directions, bare[1]) {
		found.AddHintf(bare[1], bare[1], directions, "is neither out nor in")
	}
	return found, bare
}

// parse reads the arguments. The flag library ends the process itself where
// help was asked for, with 0, and where a position is missing, with 2.
func parse(args []string) (options, error) {
	o := options{log: os.Getenv("VANECTL_LOG"), list: os.Getenv("VANECTL_LIST"), limit: defaultLimit, who: self()}
	p := flaggy.NewParser("vanectl")
	p.Description = "drives a heathervane fleet through manifests and orders"
	p.AdditionalHelpAppend = exits
	p.ShowCompletion = false
	p.DisableShowVersionWithVersion()
	p.String(&o.log, "", "log", "base URL of the platform's log; default VANECTL_LOG")
	p.String(&o.list, "", "list", "base URL of the platform's list of VMs, to warn of wrong names; default VANECTL_LIST")
	p.Bool(&o.json, "", "json", "answer in JSON")
	p.Duration(&o.limit, "", "limit", "how long to find out what became of a change")
	for _, c := range subcommands(&o) {
		p.AttachSubcommand(c, 1)
	}
	err := p.ParseArgs(args)
	return o, err
}

func subcommands(o *options) []*flaggy.Subcommand {
	check := command("check", "say what is wrong with a manifest, without publishing it")
	check.AddPositionalValue(&o.file, "FILE", 1, true, "the manifest")

	publish := command("publish", "publish a manifest as the configuration in force")
	publish.AddPositionalValue(&o.file, "FILE", 1, true, "the manifest")
	publish.String(&o.base, "", "base", "version that the manifest builds on; default the one in force")
	publish.Bool(&o.anew, "", "anew", "replace everything, orders too, where the configuration in force is lost")
	author(publish, o)

	status := command("status", "show what is in force, on the log and on VMs")
	status.StringSlice(&o.vms, "", "vm", "base URL of a VM's health side; may be repeated")

	audit := command("audit", "show who changed what, when, and at which offset")

	all := []*flaggy.Subcommand{check, publish, status, audit}
	for _, kind := range directed {
		all = append(all, order(kind, o))
	}
	return all
}

func order(kind string, o *options) *flaggy.Subcommand {
	c := command(kind, "take a "+kind+" out of service, or bring it back in")
	for _, d := range directions {
		direction := command(d, map[string]string{
			"out": "no new work goes there; work in progress ends in its own time",
			"in":  "work returns step by step",
		}[d])
		direction.AddPositionalValue(&o.name, "NAME", 1, true, "name of the "+kind)
		author(direction, o)
		c.AttachSubcommand(direction, 1)
	}
	return c
}

func command(name, description string) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	c.AdditionalHelpAppend = exits
	return c
}

// author adds the flags of who makes a change, and why.
func author(c *flaggy.Subcommand, o *options) {
	c.String(&o.who, "", "who", "who makes the change; default the user's name")
	c.String(&o.why, "", "why", "the reason, for the audit trail")
}

func self() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// usage lists the commands.
func usage(w io.Writer) {
	lines := map[string]string{
		"check FILE":           "say what is wrong with a manifest",
		"publish FILE":         "publish a manifest",
		"vm out|in NAME":       "take a VM out of service, or bring it in",
		"zone out|in NAME":     "take an availability zone out, or bring it in",
		"upstream out|in NAME": "take an upstream out, or bring it in",
		"status":               "show what is in force",
		"audit":                "show who changed what, when, and at which offset",
	}
	var b strings.Builder
	b.WriteString("vanectl COMMAND, with --help for more:\n")
	for _, line := range slices.Sorted(maps.Keys(lines)) {
		b.WriteString("  " + line + strings.Repeat(" ", max(1, 24-len(line))) + lines[line] + "\n")
	}
	b.WriteString(exits + "\n")
	_, _ = io.WriteString(w, b.String())
}
