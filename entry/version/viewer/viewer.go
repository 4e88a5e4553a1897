// Package viewer holds one version of the configuration in the form that
// requests ask it in. A View never changes: a request keeps the one it began
// with, so that a publish in the middle of it changes nothing for it.
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

// Kinds of what operators take out of service.
const (
	KindVM       = "vm"
	KindZone     = "zone"
	KindUpstream = "upstream"
)

// An Upstream is an upstream with its name.
type Upstream struct {
	Name string
	checker.Upstream
	// OutOfService says that operators have taken it, or its zone, out of service.
	OutOfService bool
}

// A Pool is the upstreams that serve one model or one service.
type Pool struct {
	// Name is the model's or service's.
	Name string
	// Service says that it is a plain service's.
	Service bool
	// Upstreams are all of them, by name in order; those out of service too.
	Upstreams []Upstream
}

// A Team is a team with its name.
type Team struct {
	Name  string
	Share int
}

// A Class is a class of work with its name.
type Class struct {
	Name string
	checker.Class
}

type token struct {
	hash [sha256.Size]byte
	team Team
}

// A View is one version of the configuration.
type View struct {
	// Version is the offset of the publish that it came from.
	Version  uint64
	Manifest checker.Manifest

	out      func(kind, name string) bool
	models   map[string]*Pool
	services map[string]*Pool
	classes  []Class
	// tokens is keyed by the first bytes of the hash, so that a look-up costs
	// the same for ten teams and for thousands.
	tokens map[[4]byte][]token
}

// New makes a View of a manifest that was found good; out tells what operators
// have taken out of service.
func New(version uint64, m checker.Manifest, out func(kind, name string) bool) *View {
	v := &View{Version: version, Manifest: m, out: out}
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
		out := v.out(KindUpstream, name) || v.out(KindZone, u.Zone)
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
			k := token{hash: [sha256.Size]byte(raw), team: Team{Name: name, Share: t.Share}}
			key := [4]byte(raw)
			v.tokens[key] = append(v.tokens[key], k)
		}
	}
}

// Team returns the team that a bearer token names.
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

// Class returns the class of a prompt's length in tokens.
func (v *View) Class(tokens int) (Class, bool) {
	for _, c := range v.classes {
		if tokens <= c.Prompt {
			return c, true
		}
	}
	return Class{}, false
}

// Priority is the engines' priority of a class: the shorter its prompts, the
// higher. It counts from 1.
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

// Pools are all pools, models' and services'.
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

// Upstreams are all upstreams, by name in order.
func (v *View) Upstreams() []Upstream {
	var us []Upstream
	for _, p := range v.Pools() {
		us = append(us, p.Upstreams...)
	}
	slices.SortFunc(us, func(a, b Upstream) int { return strings.Compare(a.Name, b.Name) })
	return us
}

// OutOfService tells whether operators have taken a VM, zone or upstream out.
func (v *View) OutOfService(kind, name string) bool {
	return v.out(kind, name)
}

// Repeatable tells whether a call of a service may be sent more than once.
func (v *View) Repeatable(service, method, call string) bool {
	rules := v.Manifest.Services[service].Repeatable
	if len(rules) == 0 {
		rules = []string{http.MethodGet, http.MethodHead, http.MethodOptions}
	}
	call = path.Clean("/" + call)
	for _, rule := range rules {
		verb, prefix, _ := strings.Cut(rule, " ")
		if verb == method && under(call, strings.TrimSpace(prefix)) {
			return true
		}
	}
	return false
}

// under tells whether a path is a prefix or stands below it: /search covers
// /search/all but not /searches.
func under(call, prefix string) bool {
	if prefix == "" || prefix == "/" || call == prefix {
		return true
	}
	return strings.HasPrefix(call, strings.TrimSuffix(prefix, "/")+"/")
}

// ParseTimeLimit reads a caller's Request-Timeout within the bounds of its work; an
// empty text asks for the default.
func ParseTimeLimit(text string, limit, least, most checker.Duration) (time.Duration, error) {
	if text == "" {
		return time.Duration(limit), nil
	}
	return parseLimit(text, time.Duration(least), time.Duration(most))
}
