package main

import (
	"context"
	"net/http"
	"time"

	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/standin/booker"
	"github.com/heathervane/heathervane/standin/broker"
	"github.com/heathervane/heathervane/standin/generator"
	"github.com/heathervane/heathervane/standin/lister"
	"github.com/heathervane/heathervane/standin/logger"
	"github.com/heathervane/heathervane/standin/sender"
	"github.com/heathervane/heathervane/standin/worker"
)

// A command is a subcommand with its flags; build makes the role once they are
// parsed.
type command struct {
	sub    *flaggy.Subcommand
	listen string
	build  func() (http.Handler, *generator.Generator, error)
	// serve makes the role of one that must know where it serves; nil for
	// those that build makes.
	serve func(address string) (http.Handler, func(context.Context), error)
}

// parse reads the command line.
func parse(args []string) (role, error) {
	p := flaggy.NewParser("standin")
	p.Description = "plays one role of the platform over HTTP"
	p.DisableShowVersionWithVersion()
	commands := []*command{engine(), service(), log(), list(), weights(), store(), upstream()}
	for _, c := range commands {
		c.listen = "127.0.0.1:0"
		c.sub.String(&c.listen, "", "listen", "host:port to serve on")
		p.AttachSubcommand(c.sub, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		return role{}, err
	}
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		if c.serve != nil {
			return role{name: c.sub.Name, listen: c.listen, serve: c.serve}, nil
		}
		handler, g, err := c.build()
		r := role{name: c.sub.Name, listen: c.listen, handler: handler}
		if g != nil {
			r.run = g.Run
		}
		return r, err
	}
	return role{}, errs.New("expected one of engine, service, log, list, weights, store, upstream")
}

// millis are flags in milliseconds.
func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// starts reads --start.
func starts(word string) (warm bool, err error) {
	switch word {
	case "warm":
		return true, nil
	case "cold":
		return false, nil
	}
	return false, errs.New("--start %s: expected warm or cold", word)
}

func newCommand(name, description string) *command {
	c := &command{sub: flaggy.NewSubcommand(name)}
	c.sub.Description = description
	return c
}

func engine() *command {
	c := newCommand("engine", "a model engine")
	e := generator.Config{
		Bytes: 4, Slots: 16, Queue: 16, Memory: 400_000, Prefill: 20_000, Decode: 40, Scale: 1,
		Cold: 2, Warm: 10, Model: "model", Version: "1", Role: "any", Gap: 10,
	}
	fall, lag, load, start := 2000, 500, 2000, "warm"
	c.sub.Int(&e.Bytes, "", "bytes", "bytes of prompt in a token")
	c.sub.Int(&e.Slots, "", "slots", "streams that run at once")
	c.sub.Int(&e.Queue, "", "queue", "streams that may wait")
	c.sub.Int(&e.Memory, "", "memory", "KV cache in tokens")
	c.sub.Float64(&e.Prefill, "", "prefill", "tokens a second read of all prompts")
	c.sub.Float64(&e.Decode, "", "decode", "tokens a second made for each stream")
	c.sub.Float64(&e.Scale, "", "scale", "factor of both rates")
	c.sub.Int(&e.Cold, "", "cold", "requests at once that it bears while cold")
	c.sub.Int(&e.Warm, "", "warm", "completed requests until it is warm")
	c.sub.Int(&fall, "", "fall", "milliseconds that it is down after it fell over")
	c.sub.Int(&lag, "", "lag", "milliseconds by which reports and events are late")
	c.sub.Int(&load, "", "load-ms", "milliseconds that loading a model takes")
	c.sub.String(&e.Model, "", "model", "model loaded at the start")
	c.sub.String(&e.Version, "", "version", "version of the model")
	c.sub.String(&e.Role, "", "role", "role reported at the start")
	c.sub.Bool(&e.Fencing, "", "fencing", "refuse orders with an old fencing number")
	c.sub.Int(&e.Stop, "", "stop", "end answers by themselves after 1 + digest mod this many tokens; 0 never")
	c.sub.Int(&e.Gap, "", "gap", "lose each such cache event; 0 loses none")
	c.sub.String(&start, "", "start", "warm or cold")
	c.build = func() (http.Handler, *generator.Generator, error) {
		warm, err := starts(start)
		if err != nil {
			return nil, nil, err
		}
		if e.Bytes < 1 || e.Bytes > 4096 || e.Slots < 1 || e.Memory < 1 || e.Prefill <= 0 || e.Decode <= 0 || e.Scale <= 0 {
			return nil, nil, errs.New("--bytes, --slots, --memory, --prefill, --decode and --scale must be above 0")
		}
		e.Fall, e.Lag, e.Load, e.Started = millis(fall), millis(lag), millis(load), warm
		e.Now, e.Client = time.Now, &http.Client{Timeout: partLimit}
		g := generator.New(e)
		return g.Handler(), g, nil
	}
	return c
}

// partLimit bounds a question to another engine about a part.
const partLimit = 5 * time.Second

func service() *command {
	c := newCommand("service", "a plain service")
	b := booker.Config{Slots: 16, Queue: 64, Cold: 2, Warm: 10}
	work, fall, lag, start := 20, 2000, 500, "warm"
	c.sub.Int(&b.Slots, "", "slots", "calls that run at once")
	c.sub.Int(&b.Queue, "", "queue", "calls that may wait")
	c.sub.Int(&work, "", "work", "milliseconds that a call takes")
	c.sub.Int(&b.Cold, "", "cold", "calls at once that it bears while cold")
	c.sub.Int(&b.Warm, "", "warm", "completed calls until it is warm")
	c.sub.Int(&fall, "", "fall", "milliseconds that it is down after it fell over")
	c.sub.Int(&lag, "", "lag", "milliseconds by which reports are late")
	c.sub.String(&start, "", "start", "warm or cold")
	c.build = func() (http.Handler, *generator.Generator, error) {
		warm, err := starts(start)
		if err != nil {
			return nil, nil, err
		}
		if b.Slots < 1 {
			return nil, nil, errs.New("--slots must be above 0")
		}
		b.Work, b.Fall, b.Lag, b.Started, b.Now = millis(work), millis(fall), millis(lag), warm, time.Now
		return booker.New(b).Handler(), nil, nil
	}
	return c
}

func log() *command {
	c := newCommand("log", "the append-only log")
	l := logger.Config{Rate: 400}
	keep := 3_600_000
	c.sub.Float64(&l.Rate, "", "rate", "appends a second over all streams")
	c.sub.Int(&keep, "", "keep", "milliseconds that records are kept")
	c.build = func() (http.Handler, *generator.Generator, error) {
		l.Keep, l.Now = millis(keep), time.Now
		return logger.New(l).Handler(), nil, nil
	}
	return c
}

func list() *command {
	c := newCommand("list", "the list of VMs")
	lag := 2000
	c.sub.Int(&lag, "", "lag", "milliseconds by which the list is late")
	c.build = func() (http.Handler, *generator.Generator, error) {
		return lister.New(lister.Config{Lag: millis(lag), Now: time.Now}).Handler(), nil, nil
	}
	return c
}

// store is the metadata store of the users' platform.
func store() *command {
	c := newCommand("store", "the users' platform's metadata store")
	c.build = func() (http.Handler, *generator.Generator, error) {
		return broker.New().Handler(""), nil, nil
	}
	return c
}

// upstream is an engine or a plain service of the users' platform.
func upstream() *command {
	c := newCommand("upstream", "an engine or a plain service of the users' platform")
	u := worker.Config{ID: "u1", Service: "service", Zone: "a", Slots: 16, Events: 8, Memory: 232_000}
	work, beat := 20, 500
	c.sub.String(&u.ID, "", "id", "its id in the platform's list")
	c.sub.String(&u.Service, "", "service", "the service it belongs to")
	c.sub.String(&u.Zone, "", "zone", "its availability zone")
	c.sub.String(&u.Store, "", "store", "host:port of the metadata store")
	c.sub.Int(&u.Slots, "", "slots", "requests that run at once")
	c.sub.Int(&u.Events, "", "events", "events of a stream")
	c.sub.Int(&work, "", "work", "milliseconds of a request, or of an event")
	c.sub.Int(&beat, "", "beat", "milliseconds between two entries")
	c.serve = func(address string) (http.Handler, func(context.Context), error) {
		if u.Store == "" {
			return nil, nil, errs.New("--store is missing")
		}
		u.Address, u.Work, u.HeartbeatInterval = address, millis(work), millis(beat)
		k := worker.New(u)
		return k.Handler(), k.Run, nil
	}
	return c
}

func weights() *command {
	c := newCommand("weights", "the weight store")
	s := sender.Config{Rate: 64 << 20, Size: 256 << 20}
	c.sub.Float64(&s.Rate, "", "rate", "bytes a second over all readers")
	c.sub.Int64(&s.Size, "", "size", "bytes of a model's weights")
	c.build = func() (http.Handler, *generator.Generator, error) {
		return sender.New(s).Handler(), nil, nil
	}
	return c
}
