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

// options holds the values of all flags and positional arguments.
type options struct {
	log   string
	list  string
	json  bool
	limit time.Duration
	vms   []string

	who        string
	why        string
	base       string
	replaceAll bool

	file string
	name string
}

const defaultLimit = 15 * time.Second

// Command names, and those commands that take a direction.
var (
	commands          = []string{"check", "publish", "vm", "zone", "upstream", "status", "audit", "load"}
	directionCommands = []string{"vm", "zone", "upstream"}
	directions        = []string{"out", "in"}

	// valueFlags and boolFlags list the flags with and without a value.
	valueFlags = []string{"--log", "--list", "--limit", "--vm", "--who", "--why", "--base"}
	boolFlags  = []string{"--json", "--anew", "--help", "-h"}
)

const exitCodesHelp = `exit codes: 0 accepted, or no problem found; 1 refused, or problems found;
2 usage error; 3 unknown: the change may have been stored or may still be;
4 the platform was not reached, and nothing has changed`

// checkArgs finds unknown flags, commands and directions, for which the flag
// library gives no hint, and suggests the closest known word. It also returns the
// positional arguments.
func checkArgs(args []string) (finder.Findings, []string) {
	var found finder.Findings
	var positional []string
	for i := 0; i < len(args); i++ {
		name, _, assigned := strings.Cut(args[i], "=")
		switch {
		case !strings.HasPrefix(name, "-"):
			positional = append(positional, args[i])
		case slices.Contains(valueFlags, name):
			if !assigned {
				i++
			}
		case !slices.Contains(boolFlags, name):
			found.AddHintf(name, name, slices.Concat(valueFlags, boolFlags), "unknown flag")
		}
	}
	if len(positional) == 0 {
		return found, positional
	}
	if !slices.Contains(commands, positional[0]) {
		found.AddHintf(positional[0], positional[0], commands, "unknown command")
		return found, positional
	}
	if slices.Contains(directionCommands, positional[0]) && len(positional) > 1 && !slices.Contains(directions, positional[1]) {
		found.AddHintf(positional[1], positional[1], directions, "must be out or in")
	}
	return found, positional
}

// parse parses the arguments. The flag library exits the process itself: with
// code 0 if help was requested, and with code 2 if a positional argument is missing.
func parse(args []string) (options, error) {
	o := options{log: os.Getenv("VANECTL_LOG"), list: os.Getenv("VANECTL_LIST"), limit: defaultLimit, who: currentUser()}
	p := flaggy.NewParser("vanectl")
	p.Description = "manages a heathervane fleet through manifests and orders"
	p.AdditionalHelpAppend = exitCodesHelp
	p.ShowCompletion = false
	p.DisableShowVersionWithVersion()
	p.String(&o.log, "", "log", "base URL of the platform's log; default VANECTL_LOG")
	p.String(&o.list, "", "list", "base URL of the platform's list of VMs, to warn about unknown names; default VANECTL_LIST")
	p.Bool(&o.json, "", "json", "answer in JSON")
	p.Duration(&o.limit, "", "limit", "how long to wait for the outcome of a change")
	for _, c := range subcommands(&o) {
		p.AttachSubcommand(c, 1)
	}
	err := p.ParseArgs(args)
	return o, err
}

func subcommands(o *options) []*flaggy.Subcommand {
	check := command("check", "report problems in a manifest without publishing it")
	check.AddPositionalValue(&o.file, "FILE", 1, true, "the manifest")

	publish := command("publish", "publish a manifest as the configuration in force")
	publish.AddPositionalValue(&o.file, "FILE", 1, true, "the manifest")
	publish.String(&o.base, "", "base", "version that the manifest builds on; default the one in force")
	publish.Bool(&o.replaceAll, "", "anew", "replace everything, including orders, if the configuration in force is lost")
	addAuthorFlags(publish, o)

	status := command("status", "show the configuration in force according to the log, and the status of VMs")
	status.StringSlice(&o.vms, "", "vm", "base URL of a VM's health endpoint; may be repeated")

	audit := command("audit", "show who changed what, when, and at which offset")

	load := command("load", "show what waits and runs in the groups of upstreams that VMs lead")
	load.StringSlice(&o.vms, "", "vm", "base URL of a VM's metrics; may be repeated")

	all := []*flaggy.Subcommand{check, publish, status, audit, load}
	for _, kind := range directionCommands {
		all = append(all, order(kind, o))
	}
	return all
}

func order(kind string, o *options) *flaggy.Subcommand {
	c := command(kind, "take a "+kind+" out of service, or bring it back in")
	for _, d := range directions {
		direction := command(d, map[string]string{
			"out": "no new work is sent there; work in progress runs to completion",
			"in":  "work is sent there again, step by step",
		}[d])
		direction.AddPositionalValue(&o.name, "NAME", 1, true, "name of the "+kind)
		addAuthorFlags(direction, o)
		c.AttachSubcommand(direction, 1)
	}
	return c
}

func command(name, description string) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	c.AdditionalHelpAppend = exitCodesHelp
	return c
}

// addAuthorFlags adds the flags for the author of a change and the reason.
func addAuthorFlags(c *flaggy.Subcommand, o *options) {
	c.String(&o.who, "", "who", "who makes the change; default the user's name")
	c.String(&o.why, "", "why", "the reason, for the audit trail")
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// printUsage lists the commands.
func printUsage(w io.Writer) {
	lines := map[string]string{
		"check FILE":           "report problems in a manifest",
		"publish FILE":         "publish a manifest",
		"vm out|in NAME":       "take a VM out of service, or bring it in",
		"zone out|in NAME":     "take an availability zone out, or bring it in",
		"upstream out|in NAME": "take an upstream out, or bring it in",
		"status":               "show the configuration in force",
		"audit":                "show who changed what, when, and at which offset",
		"load":                 "show what waits and runs, by priority, team and kind",
	}
	var b strings.Builder
	b.WriteString("vanectl COMMAND, with --help for more:\n")
	for _, line := range slices.Sorted(maps.Keys(lines)) {
		b.WriteString("  " + line + strings.Repeat(" ", max(1, 24-len(line))) + lines[line] + "\n")
	}
	b.WriteString(exitCodesHelp + "\n")
	_, _ = io.WriteString(w, b.String())
}
