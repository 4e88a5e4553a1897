// Package matcher holds one version of the configuration for plain forwarding
// (routes, services, teams and limits) and looks up the route of a request and the
// team of a key. It doesn't load the configuration and forwards nothing.
package matcher

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// A Kind is the retry and response semantics of a route's requests.
type Kind int

// The kinds of routes.
const (
	// Unsafe requests must run at most once.
	Unsafe Kind = iota
	// Safe requests may run any number of times.
	Safe
	// Stream requests are answered by a stream of events. They must run at most
	// once, unless the route is Resumable.
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

// A Route maps the requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable reports whether a stream can continue at another upstream after
	// the last event received.
	Resumable bool
	// Anonymous reports whether requests need no API key.
	Anonymous bool
	// Timeout is the maximum time a request may take without a final response.
	Timeout time.Duration
	// Objective is the target time to the response, or to the first event of a
	// stream. GapTarget is the target for the pause between events.
	Objective, GapTarget time.Duration
	// CallerTimeout is how long callers wait for the next event of a stream before
	// they disconnect; 0 if unknown.
	CallerTimeout time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// MaxAttempts is the maximum number of upstreams that one request is sent to.
	MaxAttempts int
	Split       []WeightedService
}

// A WeightedService is a service and its weight in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// A Service is a group of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections that one upstream accepts
	// from all VMs together.
	MaxConnections int
	// ColdStartRate is the maximum number of requests per second that an upstream
	// handles during its cold start, from all VMs together; 0 means no limit.
	ColdStartRate float64
	// Engine is the performance model of model engines; nil for plain services.
	Engine *Engine
	// Priorities are the different priorities that requests of the service may have, in
	// ascending order. New sets them from the routes and teams.
	Priorities []int
	// routePriorities are the different priorities of the service's routes in ascending
	// order, if requests are ordered by that of their team first and that of their route
	// second; nil otherwise.
	routePriorities []int
	// uniformRoutes is set if all routes of the service have the same priority.
	uniformRoutes bool
}

// HasPriorities reports whether the service's routes have different priorities, so that
// some kinds of requests are more urgent than others. Teams of different priority alone
// do not count.
func (s *Service) HasPriorities() bool { return len(s.Priorities) > 1 && !s.uniformRoutes }

// Priority returns the priority of a team's request on a route; team may be nil. A team's
// priority takes precedence over the route's, which orders the requests of teams with the
// same one.
func (s *Service) Priority(route *Route, team *Team) int {
	first := route.Priority
	if team != nil && team.HasPriority {
		first = team.Priority
	}
	if s.routePriorities == nil {
		return first
	}
	second, _ := slices.BinarySearch(s.routePriorities, route.Priority)
	return first*len(s.routePriorities) + min(second, len(s.routePriorities)-1)
}

// Rank returns the place of a priority among those of the service, from 0 for the most
// urgent, and the number of these places. A priority that the configuration does not name
// takes the place of the next less urgent one.
func (s *Service) Rank(priority int) (rank, ranks int) {
	ranks = max(1, len(s.Priorities))
	rank, _ = slices.BinarySearch(s.Priorities, priority)
	return min(rank, ranks-1), ranks
}

// An Engine holds the performance figures of one kind of model engine. Times are in
// milliseconds, because an engine's operations take far less than a second.
type Engine struct {
	// Slots is the maximum number of requests that generate at once. KVCapacity is
	// the size of the KV cache in tokens.
	Slots, KVCapacity int
	// StepsPerPass is the number of token steps in one pass. PrefillChunk is the
	// maximum number of prompt tokens read in each step.
	StepsPerPass, PrefillChunk int
	// The time of one token step is StepTime, plus StepTimePerStream for each
	// stream, plus StepTimePerContext for each 1,000 context tokens.
	StepTime, StepTimePerStream, StepTimePerContext float64
	// PrefillRate is the number of prompt tokens read per millisecond. AttentionTime
	// is the time for a million pairs of a token and an earlier token.
	PrefillRate, AttentionTime float64
	// HopTime is the extra time per step if several engines hold a prompt.
	HopTime float64
	// UsualPrompt and UsualOutput are the mean numbers of tokens of prompts and of answers;
	// 0 if unknown. ReportLag is how old an engine's report of its load is.
	UsualPrompt, UsualOutput int
	ReportLag                time.Duration
}

// A Team is a customer and its API keys.
type Team struct {
	Name     string
	APIKeys  []string
	Priority int
	// HasPriority reports whether Priority overrides the route's priority.
	HasPriority bool
}

// Limits bound what callers may send. Zero means no limit.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// A Table is a Config indexed for look-ups. It is immutable.
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
		// Longest prefix first, so that the first match is the most specific.
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
	for name, s := range t.services {
		c.setPriorities(s, name)
	}
	return t
}

// setPriorities sets the different priorities of a service's requests in ascending order.
func (c *Config) setPriorities(s *Service, name string) {
	s.Priorities, s.routePriorities = nil, nil
	var routes []*Route
	var byRoute []int
	for i := range c.Routes {
		r := &c.Routes[i]
		if slices.ContainsFunc(r.Split, func(w WeightedService) bool { return w.Service == name }) {
			routes, byRoute = append(routes, r), append(byRoute, r.Priority)
		}
	}
	slices.Sort(byRoute)
	byRoute = slices.Compact(byRoute)
	s.uniformRoutes = len(byRoute) <= 1
	ranked := func(t Team) bool { return t.HasPriority }
	if len(byRoute) > 1 && slices.ContainsFunc(c.Teams, ranked) {
		s.routePriorities = byRoute
	}
	for _, r := range routes {
		// Requests on other routes need a key if there is any team.
		if r.Anonymous || len(c.Teams) == 0 {
			s.Priorities = append(s.Priorities, s.Priority(r, nil))
			continue
		}
		for i := range c.Teams {
			s.Priorities = append(s.Priorities, s.Priority(r, &c.Teams[i]))
		}
	}
	slices.Sort(s.Priorities)
	s.Priorities = slices.Compact(s.Priorities)
}

// Route returns the route of a request. The path must be as sent, with its escapes:
// unescaping it would let a request match a route that its raw path doesn't name.
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

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Team returns the team that an API key belongs to.
func (t *Table) Team(key string) (*Team, bool) {
	m, ok := t.keys[key]
	return m, ok
}

// RequiresKey reports whether requests need an API key, except on anonymous routes.
// They do if any team is configured.
func (t *Table) RequiresKey() bool { return len(t.Teams) > 0 }

// Repeatable reports whether requests of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// PickService picks one of the route's services at random in proportion to their
// weights. It reports false if the weights sum to zero.
func (r *Route) PickService() (string, bool) {
	sum := 0.0
	for _, w := range r.Split {
		sum += w.Weight
	}
	if sum <= 0 {
		return "", false
	}
	at := rand.Float64() * sum //nolint:gosec // splits traffic, not security-sensitive
	for _, w := range r.Split {
		if at < w.Weight {
			return w.Service, true
		}
		at -= w.Weight
	}
	return r.Split[len(r.Split)-1].Service, true
}
