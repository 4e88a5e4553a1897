// Package matcher holds one version of what operators configure for plain
// forwarding (routes, services, teams and limits) and finds the route and the
// team of a request in it. It does not know where the configuration came from,
// and forwards nothing.
package matcher

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// A Kind says what may be done with the requests of a route.
type Kind int

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run any number of times.
	Safe
	// Stream requests are answered by a stream of events. They run at most
	// once, unless the route says that a stream can be resumed.
	Stream
)

// A Config is one version of the configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// A Route leads requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams go on at another upstream after the last event seen.
	Resumable bool
	// Anonymous routes ask for no key.
	Anonymous bool
	// Timeout is the longest that a request may be without its final answer.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event, that
	// callers find good, and GapTarget the same for the pause between events.
	Objective, GapTarget time.Duration
	// CallerTimeout is how long callers wait for a stream's next event before they
	// leave; 0 where that is not known.
	CallerTimeout time.Duration
	// Priority is the rank of the requests, 0 being the first.
	Priority int
	// MaxAttempts is the most upstreams that one request may be sent to.
	MaxAttempts int
	Split       []WeightedService
}

// A WeightedService is a service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  float64
}

// A Service is a group of upstreams that serve the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the most that one upstream accepts from all VMs together.
	MaxConnections int
	// ColdStartRate is the requests a second that an upstream in cold start bears
	// from all VMs together; 0 where it bears any.
	ColdStartRate float64
	// Engine holds the figures of model engines; nil for plain services.
	Engine *Engine
}

// An Engine holds the figures of one kind of model engine. Times are in
// milliseconds, as engines are far faster than a second in all they do.
type Engine struct {
	// Slots is how many requests generate at once, KVCapacity the KV cache in
	// tokens.
	Slots, KVCapacity int
	// StepsPerPass is how many token steps one pass makes, PrefillChunk the most prompt
	// tokens read in each step.
	StepsPerPass, PrefillChunk int
	// StepTime, StepTimePerStream and StepTimePerContext are the time of one token step: StepTime,
	// and for each stream StepTimePerStream and StepTimePerContext per 1,000 tokens.
	StepTime, StepTimePerStream, StepTimePerContext float64
	// PrefillRate is the prompt tokens read in a millisecond, and AttentionTime the time
	// for a million pairs of a token and an earlier one.
	PrefillRate, AttentionTime float64
	// HopTime is what each step of a prompt held by several engines takes longer.
	HopTime float64
}

// A Team is a customer with its keys.
type Team struct {
	Name     string
	APIKeys  []string
	Priority int
	// HasPriority says that Priority goes before the route's.
	HasPriority bool
}

// Limits bound what callers may send. Zero means no limit.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// A Table is a Config indexed for requests. It does not change.
type Table struct {
	Config
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Team
}

// New indexes a configuration.
func New(c Config) *Table {
	t := &Table{
		Config: c, hosts: make(map[string][]*Route),
		services: make(map[string]*Service), keys: make(map[string]*Team),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		// The longest prefix comes first, so that the first match is the one.
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].APIKeys {
			t.keys[key] = &c.Teams[i]
		}
	}
	return t
}

// Route finds the route of a request. The path is as it was sent, escapes
// included: unescaping would let a request reach a route that its bytes do not
// name.
func (t *Table) Route(host, path string) (*Route, bool) {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	path, _, _ = strings.Cut(path, "?")
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service finds a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Team finds the team of a key.
func (t *Table) Team(key string) (*Team, bool) {
	m, ok := t.keys[key]
	return m, ok
}

// RequiresKey says that requests need a key, but on anonymous routes.
func (t *Table) RequiresKey() bool { return len(t.Teams) > 0 }

// Repeatable says that requests of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// PickService draws one of the route's services by weight.
func (r *Route) PickService() (string, bool) {
	sum := 0.0
	for _, w := range r.Split {
		sum += w.Weight
	}
	if sum <= 0 {
		return "", false
	}
	at := rand.Float64() * sum //nolint:gosec // a share of traffic, not a secret
	for _, w := range r.Split {
		if at < w.Weight {
			return w.Service, true
		}
		at -= w.Weight
	}
	return r.Split[len(r.Split)-1].Service, true
}
