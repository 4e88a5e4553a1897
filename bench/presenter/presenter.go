// Package presenter is the demonstration: it sends one request of each kind
// through a running fleet, checks what each got, and prints it for a person to
// read. It measures nothing; the experiments do.
package presenter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/bench/caller"
	"github.com/heathervane/heathervane/bench/starter"
	"github.com/heathervane/heathervane/bench/verifier"
)

// A Presenter shows one fleet.
type Presenter struct {
	fleet  *starter.Fleet
	caller *caller.Caller
	out    io.Writer
	turn   int
}

// New returns a Presenter that prints to out.
func New(f *starter.Fleet, c *caller.Caller, out io.Writer) *Presenter {
	return &Presenter{fleet: f, caller: c, out: out}
}

// Present sends the demonstration's requests one after another. The error
// tells all that was wrong.
func (p *Presenter) Present(ctx context.Context) error {
	s := p.fleet.Size
	steps := []func() error{
		func() error { return p.ask(ctx, "a short question", 40, 24) },
		func() error { return p.ask(ctx, "a long document", s.Memory*3/4, 24) },
		func() error { return p.ask(ctx, "a prompt larger than two engines' memory", s.Memory*9/4, 24) },
		func() error { return p.book(ctx) },
	}
	var wrong error
	for _, step := range steps {
		err := step()
		if ctx.Err() != nil {
			return errs.New("interrupted")
		}
		wrong = errs.Combine(wrong, err)
	}
	return wrong
}

// vm goes round the VMs, as the platform's balancer does.
func (p *Presenter) vm() *starter.Process {
	vm := p.fleet.VMs[p.turn%len(p.fleet.VMs)]
	p.turn++
	return vm
}

// token is the token of the first team by name.
func (p *Presenter) token() string {
	names := make([]string, 0, len(p.fleet.Tokens))
	for name := range p.fleet.Tokens {
		names = append(names, name)
	}
	return p.fleet.Tokens[slices.Min(names)]
}

func (p *Presenter) ask(ctx context.Context, title string, prompt, output int) error {
	text := verifier.Prompt(title, prompt*p.fleet.Size.Bytes)
	vm := p.vm()
	a := p.caller.Ask(ctx, vm.Line.Callers, p.token(), caller.Question{
		Model: p.fleet.Size.Model, Prompt: text, Output: output,
	})
	if ctx.Err() != nil {
		return nil //nolint:nilerr // an interrupted demonstration has shown nothing wrong
	}
	fmt.Fprintf(p.out, "%s of %d tokens\n", title, prompt)
	p.way(a.Way)
	if err := verifier.Check(text, output, a); err != nil {
		fmt.Fprintf(p.out, "  WRONG: %v\n\n", err)
		return errs.New("%s: %v", title, err)
	}
	fmt.Fprintf(p.out, "  whole answer of %d tokens, the first after %v, the last after %v\n  %s\n\n",
		a.Tokens, a.First.Round(time.Millisecond), a.End.Round(time.Millisecond), shorten(a.Content))
	return nil
}

func (p *Presenter) way(w caller.Way) {
	fmt.Fprintf(p.out, "  status %d through VM %s at upstream %s, ran: %s\n",
		w.Status, or(w.VM), or(w.Upstream), or(w.Ran))
	if w.Code != "" {
		fmt.Fprintf(p.out, "  %s: %s\n", w.Code, w.Text)
	}
}

func or(name string) string {
	if name == "" {
		return "(not named)"
	}
	return name
}

// shorten keeps the start of a text for printing.
func shorten(text string) string {
	const most = 72
	text = strings.Join(strings.Fields(text), " ")
	if len(text) <= most {
		return text
	}
	return text[:most] + "…"
}

// book makes one booking twice under one key through two VMs: a caller who got
// no answer in time and asks again. The service must count one effect, and the
// second answer must be the first one's.
func (p *Presenter) book(ctx context.Context) error {
	id, err := uuid.NewV7()
	if err != nil {
		return errs.Wrap(err)
	}
	key := id.String()
	call := caller.Call{
		Service: p.fleet.Size.Service, Method: http.MethodPost, Path: "/book",
		Body: `{"course":"bargaining","seat":1}`, Key: key,
	}
	var outcomes []caller.Outcome
	for _, title := range []string{"a booking", "the same booking again, through another VM"} {
		o := p.caller.Call(ctx, p.vm().Line.Callers, p.token(), call)
		if ctx.Err() != nil {
			return nil //nolint:nilerr // as above
		}
		fmt.Fprintf(p.out, "%s\n", title)
		p.way(o.Way)
		fmt.Fprintf(p.out, "  %s\n\n", shorten(o.Body))
		outcomes = append(outcomes, o)
	}
	err = p.booked(ctx, key, outcomes[0], outcomes[1])
	if err != nil {
		fmt.Fprintf(p.out, "  WRONG: %v\n\n", err)
		return errs.New("the booking: %v", err)
	}
	return nil
}

func (p *Presenter) booked(ctx context.Context, key string, first, second caller.Outcome) error {
	for _, o := range []caller.Outcome{first, second} {
		if o.Err != nil {
			return o.Err
		}
		if o.Status != http.StatusOK {
			return errs.New("status %d %s: %s", o.Status, o.Code, o.Text)
		}
	}
	if first.Body != second.Body {
		return errs.New("the second answer is not the first one's: %q and %q", first.Body, second.Body)
	}
	effects, err := p.fleet.Effects(ctx, key)
	if err != nil {
		return err
	}
	if effects != 1 {
		return errs.New("the service counted %d effects under one key", effects)
	}
	fmt.Fprintf(p.out, "the service counted one effect under the key %s\n", key)
	return nil
}
