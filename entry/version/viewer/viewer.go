// Package viewer indexes one version of the configuration for the look-ups that
// requests need. A View is immutable: a request keeps the View it started with, so a
// configuration change doesn't affect requests in progress.
package viewer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/heathervane/heathervane/library/checker"
)

// The kinds of targets that operators can take out of service.
const (
	KindVM       = "vm"
	KindZone     = "zone"
	KindUpstream = "upstream"
)

// An Upstream is a configured upstream with its name.
type Upstream struct {
	Name string
	checker.Upstream
	// OutOfService reports whether operators have taken the upstream or its zone
	// out of service.
	OutOfService bool
}

// A Pool holds the upstreams of one model or one service.
type Pool struct {
	// Name is the name of the model or service.
	Name string
	// Service reports whether the pool belongs to a plain service, not to a model.
	Service bool
	// Upstreams is sorted by name and includes upstreams out of service.
	Upstreams []Upstream
}

// A Team is the name of a team and its share of the capacity.
type Team struct {
	Name  string
	Share int
}

// A Class is a workload class with its name.
type Class struct {
	Name string
	checker.Class
}

type token struct {
	hash [sha256.Size]byte
	team Team
}

// A View is one version of the configuration, indexed for requests.
type View struct {
	// Version is the log offset of the record that published the configuration.
	Version  uint64
	Manifest checker.Manifest

	outOfService func(kind, name string) bool
	models       map[string]*Pool
	services     map[string]*Pool
	classes      []Class
	// tokens maps the first four bytes of a token's hash to the tokens that start with
	// them, so that the cost of a look-up doesn't grow with the number of teams.
	tokens map[[4]byte][]token
}

// New returns a View of a validated manifest; out reports what operators have taken
// out of service.
func New(version uint64, m checker.Manifest, out func(kind, name string) bool) *View {
	v := &View{Version: version, Manifest: m, outOfService: out}
	v.models = make(map[string]*Pool, len(m.Models))
	for name := range m.Models {
		v.models[name] = &Pool{Name: name}
	}
	v.services = make(map[string]*Pool, len(m.Services))
	for name := range m.Services {
		v.services[name] = &Pool{Name: name, Service: true}
	}
	v.addUpstreams()
	v.addClasses()
	v.addTokens()
	return v
}

func (v *View) addUpstreams() {
	for name, u := range v.Manifest.Upstreams {
		out := v.outOfService(KindUpstream, name) || v.outOfService(KindZone, u.Zone)
		p := v.models[u.Model]
		if u.Service != "" {
			p = v.services[u.Service]
		}
		if p != nil {
			p.Upstreams = append(p.Upstreams, Upstream{Name: name, Upstream: u, OutOfService: out})
		}
	}
	for _, p := range v.Pools() {
		slices.SortFunc(p.Upstreams, func(a, b Upstream) int { return strings.Compare(a.Name, b.Name) })
	}
}

func (v *View) addClasses() {
	for name, c := range v.Manifest.Classes {
		v.classes = append(v.classes, Class{Name: name, Class: c})
	}
	slices.SortFunc(v.classes, func(a, b Class) int { return a.Prompt - b.Prompt })
}

func (v *View) addTokens() {
	v.tokens = make(map[[4]byte][]token)
	for name, t := range v.Manifest.Teams {
		for _, text := range t.Tokens {
			raw, err := hex.DecodeString(strings.TrimPrefix(text, "sha256:"))
			if err != nil || len(raw) != sha256.Size {
				continue
			}
			entry := token{hash: [sha256.Size]byte(raw), team: Team{Name: name, Share: t.Share}}
			key := [4]byte(raw)
			v.tokens[key] = append(v.tokens[key], entry)
		}
	}
}

// Team returns the team that a bearer token belongs to.
func (v *View) Team(bearer string) (Team, bool) {
	hash := sha256.Sum256([]byte(bearer))
	var found Team
	ok := false
	for _, k := range v.tokens[[4]byte(hash[:4])] {
		if subtle.ConstantTimeCompare(k.hash[:], hash[:]) == 1 {
			found, ok = k.team, true
		}
	}
	return found, ok
}

// Class returns the smallest class that accepts a prompt of the given number of
// tokens.
func (v *View) Class(tokens int) (Class, bool) {
	for _, c := range v.classes {
		if tokens <= c.Prompt {
			return c, true
		}
	}
	return Class{}, false
}

// Priority returns the scheduling priority of a class at the engines, from 1 up.
// Classes of shorter prompts have a higher priority.
func (v *View) Priority(c Class) int {
	i := slices.IndexFunc(v.classes, func(o Class) bool { return o.Name == c.Name })
	return len(v.classes) - i
}

// Model returns the pool of a model.
func (v *View) Model(name string) (*Pool, bool) {
	p, ok := v.models[name]
	return p, ok
}

// Service returns the pool of a plain service.
func (v *View) Service(name string) (*Pool, bool) {
	p, ok := v.services[name]
	return p, ok
}

// Pools returns the pools of all models and services, in no particular order.
func (v *View) Pools() []*Pool {
	ps := make([]*Pool, 0, len(v.models)+len(v.services))
	for _, p := range v.models {
		ps = append(ps, p)
	}
	for _, p := range v.services {
		ps = append(ps, p)
	}
	return ps
}

// Upstreams returns all upstreams, sorted by name.
func (v *View) Upstreams() []Upstream {
	var us []Upstream
	for _, p := range v.Pools() {
		us = append(us, p.Upstreams...)
	}
	slices.SortFunc(us, func(a, b Upstream) int { return strings.Compare(a.Name, b.Name) })
	return us
}

// OutOfService reports whether operators have taken a VM, zone or upstream out of
// service.
func (v *View) OutOfService(kind, name string) bool {
	return v.outOfService(kind, name)
}

// Repeatable reports whether a request to a service may be sent more than once. The
// default is GET, HEAD and OPTIONS.
func (v *View) Repeatable(service, method, requestPath string) bool {
	rules := v.Manifest.Services[service].Repeatable
	if len(rules) == 0 {
		rules = []string{http.MethodGet, http.MethodHead, http.MethodOptions}
	}
	requestPath = path.Clean("/" + requestPath)
	for _, rule := range rules {
		ruleMethod, prefix, _ := strings.Cut(rule, " ")
		if ruleMethod == method && hasPathPrefix(requestPath, strings.TrimSpace(prefix)) {
			return true
		}
	}
	return false
}

// hasPathPrefix reports whether a path equals prefix or is below it: /search matches
// /search/all but not /searches.
func hasPathPrefix(requestPath, prefix string) bool {
	if prefix == "" || prefix == "/" || requestPath == prefix {
		return true
	}
	return strings.HasPrefix(requestPath, strings.TrimSuffix(prefix, "/")+"/")
}

// ParseTimeLimit parses a Request-Timeout header and checks that it is between lower
// and upper. An empty header yields defaultLimit.
func ParseTimeLimit(text string, defaultLimit, lower, upper checker.Duration) (time.Duration, error) {
	if text == "" {
		return time.Duration(defaultLimit), nil
	}
	return parseTimeLimit(text, time.Duration(lower), time.Duration(upper))
}
