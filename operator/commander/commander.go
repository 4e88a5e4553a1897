// Package commander is the command line of vanectl: it reads the words, has the
// change made or the state read, prints the answer and gives the exit code. How
// a change is made stands in operator/changer.
package commander

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/library/appender"
	"github.com/heathervane/heathervane/library/checker"
	"github.com/heathervane/heathervane/library/finder"
	"github.com/heathervane/heathervane/library/folder"
	"github.com/heathervane/heathervane/library/lister"
	"github.com/heathervane/heathervane/library/recorder"
	"github.com/heathervane/heathervane/operator/changer"
)

// A Code is the exit code of the program.
type Code int

// The exit codes.
const (
	// Done says that a change was accepted, or that all is well.
	Done Code = 0
	// Refused says that a change was refused, that there are findings, or
	// that a VM does not hold what is in force.
	Refused Code = 1
	// Usage says that the command was not understood or lacks something.
	Usage Code = 2
	// Unknown says that a change may have landed or may still land.
	Unknown Code = 3
	// Unreached says that the platform was not reached and nothing changed.
	Unreached Code = 4
)

// errUsage is the class of wrong uses.
var errUsage = errs.Class("usage")

// Run runs the command that the arguments name. Answers go to out and errors to
// bad.
func Run(ctx context.Context, args []string, out, bad io.Writer) Code {
	found, bare := words(args)
	if err := found.Err(); err != nil {
		fmt.Fprintln(bad, "vanectl:", err)
		return Usage
	}
	o, err := parse(args)
	if err != nil {
		fmt.Fprintln(bad, "vanectl:", err)
		return Usage
	}
	if len(bare) == 0 || (len(bare) == 1 && isDirected(bare[0])) {
		usage(bad)
		return Usage
	}
	c := commander{options: o, out: out, bad: bad, client: &http.Client{Timeout: o.limit}}
	code, err := c.run(ctx, bare)
	if err != nil {
		fmt.Fprintln(bad, "vanectl:", err)
	}
	return code
}

func isDirected(word string) bool {
	return slices.Contains(directed, word)
}

type commander struct {
	options
	out, bad io.Writer
	client   *http.Client
}

func (c *commander) run(ctx context.Context, bare []string) (Code, error) {
	switch bare[0] {
	case "check":
		return c.check()
	case "publish":
		return c.publish(ctx)
	case "status":
		return c.status(ctx)
	case "audit":
		return c.audit(ctx)
	default:
		return c.order(ctx, recorder.Target(bare[0]), bare[1] == "out")
	}
}

// read reads a manifest and what is wrong with it.
func (c *commander) read() ([]byte, checker.Manifest, finder.Findings, error) {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return nil, checker.Manifest{}, nil, errUsage.Wrap(err)
	}
	m, found := checker.Parse(data)
	return data, m, found, nil
}

func (c *commander) check() (Code, error) {
	_, m, found, err := c.read()
	if err != nil {
		return Usage, err
	}
	if len(found) > 0 {
		return Refused, c.findings(found)
	}
	return Done, c.print(checked{
		File: c.file, Models: len(m.Models), Services: len(m.Services),
		Upstreams: len(m.Upstreams), Teams: len(m.Teams),
	})
}

func (c *commander) findings(found finder.Findings) error {
	return c.print(refusal{Outcome: folder.Refused, Findings: found})
}

func (c *commander) publish(ctx context.Context) (Code, error) {
	data, _, found, err := c.read()
	if err != nil {
		return Usage, err
	}
	if len(found) > 0 {
		return Refused, c.findings(found)
	}
	ch, err := c.changer()
	if err != nil {
		return Usage, err
	}
	base, err := c.basis(ctx, ch)
	if err != nil {
		return code(err), err
	}
	packed, err := recorder.Compress(data)
	if err != nil {
		return Usage, err
	}
	p := recorder.Publish{
		Base: base, Anew: c.anew, Manifest: packed, Who: c.who, At: time.Now().UnixMilli(), ID: rand.Text(), Why: c.why,
	}
	return change(ctx, c, ch, p.ID, recorder.KindPublish, p)
}

// basis is the version that a publish builds on, or the stream's end where it
// replaces everything.
func (c *commander) basis(ctx context.Context, ch *changer.Changer) (uint64, error) {
	if c.base != "" && !c.anew {
		base, err := strconv.ParseUint(c.base, 10, 64)
		if err != nil {
			return 0, errUsage.New("--base %q is not a version", c.base)
		}
		return base, nil
	}
	s, end, err := ch.Current(ctx)
	if c.anew && (err == nil || changer.ErrLost.Has(err)) {
		return end, nil
	}
	if changer.ErrLost.Has(err) {
		return 0, fmt.Errorf("%w; publish with --anew, and give the orders again", err)
	}
	return s.Version, err
}

func (c *commander) order(ctx context.Context, kind recorder.Target, out bool) (Code, error) {
	if !checker.ValidName(c.name) {
		return Usage, errUsage.New("the name %q is not 1 to 40 of a-z, 0-9 and -", c.name)
	}
	ch, err := c.changer()
	if err != nil {
		return Usage, err
	}
	_, end, err := ch.Current(ctx)
	if err != nil {
		return code(err), err
	}
	if kind == recorder.TargetVM && out {
		c.warn(ctx)
	}
	o := recorder.Order{
		Kind: kind, Name: c.name, Out: out, Base: end,
		Who: c.who, At: time.Now().UnixMilli(), ID: rand.Text(), Why: c.why,
	}
	return change(ctx, c, ch, o.ID, recorder.KindOrder, o)
}

// warn tells of a name that the platform's list of VMs does not have. Manifests
// do not name VMs, so that a wrong name would be accepted and change nothing.
// The list lags, so that the order is given all the same.
func (c *commander) warn(ctx context.Context) {
	if c.list == "" {
		return
	}
	vms, err := lister.New(strings.TrimRight(c.list, "/"), c.client).VMs(ctx)
	if err != nil {
		fmt.Fprintln(c.bad, "vanectl: the name could not be checked:", err)
		return
	}
	names := make([]string, 0, len(vms))
	for _, v := range vms {
		names = append(names, v.ID)
	}
	if slices.Contains(names, c.name) {
		return
	}
	var found finder.Findings
	found.AddHintf("vm "+c.name, c.name, names, "is not on the platform's list")
	fmt.Fprintln(c.bad, "vanectl: warning:", found[0])
}

// change makes a change and prints what became of it.
func change[T any](ctx context.Context, c *commander, ch *changer.Changer, id, kind string, v T) (Code, error) {
	data, err := recorder.Wrap(kind, v)
	if err != nil {
		return Usage, err
	}
	r, err := ch.Make(ctx, id, data)
	if err != nil {
		return code(err), err
	}
	codes := map[folder.Outcome]Code{folder.Accepted: Done, changer.Unknown: Unknown}
	exit, ok := codes[r.Outcome]
	if !ok {
		exit = Refused
	}
	return exit, c.print(made(r))
}

// changer returns a Changer on the log that the operator named.
func (c *commander) changer() (*changer.Changer, error) {
	if c.who == "" || len(c.who) > folder.MaxWho || len(c.why) > folder.MaxWhy {
		return nil, errUsage.New("--who needs 1 to %d bytes, and --why at most %d", folder.MaxWho, folder.MaxWhy)
	}
	if c.log == "" {
		return nil, errUsage.New("name the platform's log by --log or VANECTL_LOG")
	}
	if !strings.HasPrefix(c.log, "http://") && !strings.HasPrefix(c.log, "https://") {
		return nil, errUsage.New("--log %q is not a URL such as http://10.0.0.5:7000", c.log)
	}
	return changer.New(appender.New(strings.TrimRight(c.log, "/"), c.client), c.limit), nil
}

// code is the exit code of an error that came before anything changed.
func code(err error) Code {
	switch {
	case errUsage.Has(err):
		return Usage
	case changer.ErrLost.Has(err):
		return Refused
	case errors.Is(err, context.Canceled), changer.ErrPlatform.Has(err):
		return Unreached
	default:
		return Usage
	}
}

// printer is an answer that has a form for people beside that in JSON.
type printer interface {
	text() string
}

func (c *commander) print(p printer) error {
	if !c.json {
		_, err := io.WriteString(c.out, p.text())
		return err
	}
	e := json.NewEncoder(c.out)
	e.SetEscapeHTML(false)
	return e.Encode(p)
}
