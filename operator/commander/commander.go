// Package commander implements the command line of vanectl: it parses arguments,
// submits a change or reads the state, prints the result and returns the exit code.
// Changes are submitted by operator/changer.
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

// A Code is an exit code of the program.
type Code int

// Exit codes.
const (
	// ExitOK means that a change was accepted or that no problem was found.
	ExitOK Code = 0
	// ExitRefused means that a change was refused, that a manifest has findings, that
	// the configuration is lost, or that a VM is not ready, could not be queried or
	// does not have the version in force.
	ExitRefused Code = 1
	// ExitUsage means that the command line or its input is invalid.
	ExitUsage Code = 2
	// ExitUnknown means that a change may have been stored or may still be stored.
	ExitUnknown Code = 3
	// ExitUnreachable means that the platform was not reached and nothing changed.
	ExitUnreachable Code = 4
)

// errUsage is the class of usage errors.
var errUsage = errs.Class("usage")

// Run executes the command given by args. It writes results to out and errors to
// errOut.
func Run(ctx context.Context, args []string, out, errOut io.Writer) Code {
	found, positional := checkArgs(args)
	if err := found.Err(); err != nil {
		fmt.Fprintln(errOut, "vanectl:", err)
		return ExitUsage
	}
	o, err := parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "vanectl:", err)
		return ExitUsage
	}
	if len(positional) == 0 || (len(positional) == 1 && takesDirection(positional[0])) {
		printUsage(errOut)
		return ExitUsage
	}
	c := commander{options: o, out: out, errOut: errOut, client: &http.Client{Timeout: o.limit}}
	code, err := c.run(ctx, positional)
	if err != nil {
		fmt.Fprintln(errOut, "vanectl:", err)
	}
	return code
}

func takesDirection(command string) bool {
	return slices.Contains(directionCommands, command)
}

type commander struct {
	options
	out, errOut io.Writer
	client      *http.Client
}

func (c *commander) run(ctx context.Context, positional []string) (Code, error) {
	switch positional[0] {
	case "check":
		return c.check()
	case "publish":
		return c.publish(ctx)
	case "status":
		return c.status(ctx)
	case "audit":
		return c.audit(ctx)
	case "load":
		return c.load(ctx)
	default:
		return c.order(ctx, recorder.Target(positional[0]), positional[1] == "out")
	}
}

// readManifest reads the manifest file and returns its contents and findings.
func (c *commander) readManifest() ([]byte, checker.Manifest, finder.Findings, error) {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return nil, checker.Manifest{}, nil, errUsage.Wrap(err)
	}
	m, found := checker.Parse(data)
	return data, m, found, nil
}

func (c *commander) check() (Code, error) {
	_, m, found, err := c.readManifest()
	if err != nil {
		return ExitUsage, err
	}
	if len(found) > 0 {
		return ExitRefused, c.findings(found)
	}
	return ExitOK, c.print(checkResult{
		File: c.file, Models: len(m.Models), Services: len(m.Services),
		Upstreams: len(m.Upstreams), Teams: len(m.Teams),
	})
}

func (c *commander) findings(found finder.Findings) error {
	return c.print(invalidManifest{Outcome: folder.Refused, Findings: found})
}

func (c *commander) publish(ctx context.Context) (Code, error) {
	data, _, found, err := c.readManifest()
	if err != nil {
		return ExitUsage, err
	}
	if len(found) > 0 {
		return ExitRefused, c.findings(found)
	}
	ch, err := c.changer()
	if err != nil {
		return ExitUsage, err
	}
	base, err := c.baseVersion(ctx, ch)
	if err != nil {
		return exitCode(err), err
	}
	packed, err := recorder.Compress(data)
	if err != nil {
		return ExitUsage, err
	}
	p := recorder.Publish{
		Base: base, Anew: c.replaceAll, Manifest: packed, Who: c.who, At: time.Now().UnixMilli(), ID: rand.Text(), Why: c.why,
	}
	return change(ctx, c, ch, p.ID, recorder.KindPublish, p)
}

// baseVersion returns the version that a publish builds on, or the end of the
// stream if the publish replaces everything.
func (c *commander) baseVersion(ctx context.Context, ch *changer.Changer) (uint64, error) {
	if c.base != "" && !c.replaceAll {
		base, err := strconv.ParseUint(c.base, 10, 64)
		if err != nil {
			return 0, errUsage.New("--base %q is not a version", c.base)
		}
		return base, nil
	}
	s, end, err := ch.Current(ctx)
	if c.replaceAll && (err == nil || changer.ErrConfigurationLost.Has(err)) {
		return end, nil
	}
	if changer.ErrConfigurationLost.Has(err) {
		return 0, fmt.Errorf("%w; publish with --anew, then repeat the orders", err)
	}
	return s.Version, err
}

func (c *commander) order(ctx context.Context, kind recorder.Target, out bool) (Code, error) {
	if !checker.ValidName(c.name) {
		return ExitUsage, errUsage.New("the name %q is not 1 to 40 characters of a-z, 0-9 and -", c.name)
	}
	ch, err := c.changer()
	if err != nil {
		return ExitUsage, err
	}
	_, end, err := ch.Current(ctx)
	if err != nil {
		return exitCode(err), err
	}
	if kind == recorder.TargetVM && out {
		c.warnUnknownVM(ctx)
	}
	o := recorder.Order{
		Kind: kind, Name: c.name, Out: out, Base: end,
		Who: c.who, At: time.Now().UnixMilli(), ID: rand.Text(), Why: c.why,
	}
	return change(ctx, c, ch, o.ID, recorder.KindOrder, o)
}

// warnUnknownVM warns if the VM's name is not on the platform's list. Manifests do
// not name VMs, so an order with a wrong name would be accepted without effect. The
// order is submitted anyway, because the list may be out of date.
func (c *commander) warnUnknownVM(ctx context.Context) {
	if c.list == "" {
		return
	}
	vms, err := lister.New(strings.TrimRight(c.list, "/"), c.client).VMs(ctx)
	if err != nil {
		fmt.Fprintln(c.errOut, "vanectl: the name could not be checked:", err)
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
	fmt.Fprintln(c.errOut, "vanectl: warning:", found[0])
}

// change submits a change and prints its outcome.
func change[T any](ctx context.Context, c *commander, ch *changer.Changer, id, kind string, v T) (Code, error) {
	data, err := recorder.Wrap(kind, v)
	if err != nil {
		return ExitUsage, err
	}
	r, err := ch.Submit(ctx, id, data)
	if err != nil {
		return exitCode(err), err
	}
	codes := map[folder.Outcome]Code{folder.Accepted: ExitOK, changer.Unknown: ExitUnknown}
	exit, ok := codes[r.Outcome]
	if !ok {
		exit = ExitRefused
	}
	return exit, c.print(changeResult(r))
}

// changer returns a Changer for the log given by --log or VANECTL_LOG.
func (c *commander) changer() (*changer.Changer, error) {
	if c.who == "" || len(c.who) > folder.MaxWho || len(c.why) > folder.MaxWhy {
		return nil, errUsage.New("--who needs 1 to %d bytes, and --why takes at most %d", folder.MaxWho, folder.MaxWhy)
	}
	if c.log == "" {
		return nil, errUsage.New("set the URL of the platform's log with --log or VANECTL_LOG")
	}
	if !strings.HasPrefix(c.log, "http://") && !strings.HasPrefix(c.log, "https://") {
		return nil, errUsage.New("--log %q is not a URL such as http://10.0.0.5:7000", c.log)
	}
	return changer.New(appender.New(strings.TrimRight(c.log, "/"), c.client), c.limit), nil
}

// exitCode returns the exit code for an error that occurred before any change.
func exitCode(err error) Code {
	switch {
	case errUsage.Has(err):
		return ExitUsage
	case changer.ErrConfigurationLost.Has(err):
		return ExitRefused
	case errors.Is(err, context.Canceled), changer.ErrPlatform.Has(err):
		return ExitUnreachable
	default:
		return ExitUsage
	}
}

// A printer is a result that has a text form besides JSON.
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
