package checker

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/heathervane/heathervane/library/decoder"
	"github.com/heathervane/heathervane/library/finder"
)

// MaxBytes is the longest manifest in bytes: 12,000 upstreams and 2,700 teams,
// with half as much again. Packed, it must fit into a record of the log.
const MaxBytes = 3 << 20

// The two values of Service.Keys.
const (
	KeysDated = "dated"
	KeysAny   = "any"
)

// Bounds of single values. They are far above any fleet foreseen and keep sums
// over a manifest well inside an int64.
const (
	maxSeats  = 10_000
	maxTokens = 100_000_000
	maxSlots  = 1_000_000
	maxShare  = 1_000_000
	maxBytes  = 64
	minWindow = time.Minute
	maxTime   = 30 * 24 * time.Hour
)

var (
	nameForm    = regexp.MustCompile(`^[a-z0-9-]{1,40}$`)
	versionForm = regexp.MustCompile(`^[A-Za-z0-9._-]{1,40}$`)
	tokenForm   = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
	methods     = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}
)

// ValidName says whether a name has the form of every name in a manifest:
// 1 to 40 of a to z, 0 to 9 and the hyphen.
func ValidName(name string) bool { return nameForm.MatchString(name) }

// Parse reads a manifest, fills in defaults, and returns all that is wrong
// with it. A manifest with findings must not be put in force.
func Parse(data []byte) (Manifest, finder.Findings) {
	m := preset()
	found := decoder.Decode(data, &m, MaxBytes)
	if len(data) == 0 {
		// The file of a pipeline that failed. In force, it would stop the fleet.
		found.Addf("line 1", "is empty")
	}
	m.fill()
	c := checker{
		m: &m, found: found,
		zoneNames:    slices.Sorted(slices.Values(m.Zones)),
		modelNames:   sorted(m.Models),
		serviceNames: sorted(m.Services),
	}
	c.top()
	c.classes()
	c.models()
	c.services()
	c.upstreams()
	c.teams()
	return m, c.found
}

type checker struct {
	m     *Manifest
	found finder.Findings

	// The names that upstreams may refer to, sorted.
	zoneNames, modelNames, serviceNames []string
}

// within reports a number outside its bounds.
func (c *checker) within(place string, n, least, most int) {
	if n < least || n > most {
		c.found.Addf(place, "is %d, not between %d and %d", n, least, most)
	}
}

func (c *checker) name(place, name string) {
	if !ValidName(name) {
		c.found.Addf(place, "the name %q is not 1 to 40 of a-z, 0-9 and -", decoder.Truncate(name))
	}
}

// known reports a reference to an entry that does not exist; names are sorted.
func (c *checker) known(place, kind, name string, names []string) {
	if _, ok := slices.BinarySearch(names, name); ok {
		return
	}
	c.found.AddHintf(place, name, names,
		"names the %s %q, which the manifest does not have", kind, decoder.Truncate(name))
}

func (c *checker) top() {
	c.within("seats", c.m.Seats, 1, maxSeats)
	c.within("loads", c.m.Loads, 0, maxSeats)
	window, keep := time.Duration(c.m.Window), time.Duration(c.m.Keep)
	if window < minWindow || window > maxTime {
		c.found.Addf("window", "is %s, not between %s and %s", window, minWindow, maxTime)
	}
	if keep <= window || keep > 2*maxTime {
		c.found.Addf("keep", "is %s, not longer than window (%s) and at most %s", keep, window, 2*maxTime)
	}
	if keep < MinKeep {
		c.found.Addf("keep", "is %s, shorter than %s", keep, MinKeep)
	}
	seen := map[string]bool{}
	for i, zone := range c.m.Zones {
		place := fmt.Sprintf("zones[%d]", i)
		c.name(place, zone)
		if seen[zone] {
			c.found.Addf(place, "names the zone %q twice", decoder.Truncate(zone))
		}
		seen[zone] = true
	}
}

// limits checks a default time limit and its bounds.
func (c *checker) limits(place string, limit, least, most Duration) {
	if least <= 0 {
		c.found.Addf(place+".least", "is %s, not above 0s", time.Duration(least))
	}
	if limit < least || limit > most {
		c.found.Addf(place+".limit", "is %s, not between least (%s) and most (%s)",
			time.Duration(limit), time.Duration(least), time.Duration(most))
	}
	if time.Duration(most) > maxTime {
		c.found.Addf(place+".most", "is %s, more than %s", time.Duration(most), maxTime)
	}
}

// classes checks that each class has prompts of its own and that a longer
// prompt is never given less time.
func (c *checker) classes() {
	names := slices.SortedFunc(maps.Keys(c.m.Classes), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.m.Classes[a].Prompt, c.m.Classes[b].Prompt), cmp.Compare(a, b))
	})
	for i, name := range names {
		place, class := decoder.JoinPath("classes", name), c.m.Classes[name]
		c.name(place, name)
		c.within(place+".prompt", class.Prompt, 1, maxTokens)
		c.limits(place, class.Limit, class.Least, class.Most)
		if i == 0 {
			continue
		}
		below := c.m.Classes[names[i-1]]
		if class.Prompt == below.Prompt {
			c.found.Addf(place+".prompt", "is %d, the same as that of class %s", class.Prompt, names[i-1])
		}
		if class.Limit < below.Limit {
			c.found.Addf(place+".limit", "is %s, less than the %s of class %s with shorter prompts",
				time.Duration(class.Limit), time.Duration(below.Limit), names[i-1])
		}
	}
}

func (c *checker) models() {
	for _, name := range c.modelNames {
		place, m := decoder.JoinPath("models", name), c.m.Models[name]
		c.name(place, name)
		c.within(place+".context", m.Context, 1, maxTokens)
		c.within(place+".output", m.Output, 1, max(1, m.Context))
		c.within(place+".bytes", m.Bytes, 1, maxBytes)
		if load := time.Duration(m.Load); load < 0 || load > MaxLoad {
			c.found.Addf(place+".load", "is %s, not between 0s and %s", load, MaxLoad)
		}
		if !versionForm.MatchString(m.Version) {
			c.found.Addf(place+".version", "%q is not 1 to 40 of letters, digits, dot, _ and -", decoder.Truncate(m.Version))
		}
	}
}

func (c *checker) services() {
	for _, name := range c.serviceNames {
		place, s := decoder.JoinPath("services", name), c.m.Services[name]
		c.name(place, name)
		c.limits(place, s.Limit, s.Least, s.Most)
		if s.Keys != KeysDated && s.Keys != KeysAny {
			c.found.AddHintf(place+".keys", s.Keys, []string{KeysDated, KeysAny},
				"is %q, not %q or %q", decoder.Truncate(s.Keys), KeysDated, KeysAny)
		}
		for i, call := range s.Repeatable {
			c.call(fmt.Sprintf("%s.repeatable[%d]", place, i), call)
		}
	}
}

func (c *checker) call(place, call string) {
	method, path, split := strings.Cut(call, " ")
	if !slices.Contains(methods, method) {
		c.found.AddHintf(place, strings.ToUpper(method), methods,
			"the method %q is none of %s", decoder.Truncate(method), strings.Join(methods, ", "))
	}
	if split && (!strings.HasPrefix(path, "/") || strings.ContainsAny(path, " ?#")) {
		c.found.Addf(place, "%q is not a path that begins with /", decoder.Truncate(path))
	}
}

func (c *checker) upstreams() {
	owner := map[netip.AddrPort]string{}
	for _, name := range sorted(c.m.Upstreams) {
		place, u := decoder.JoinPath("upstreams", name), c.m.Upstreams[name]
		c.name(place, name)
		c.role(place, u)
		c.zone(place+".zone", u.Zone)
		c.within(place+".slots", u.Slots, 1, maxSlots)
		c.within(place+".cold", u.Cold, 1, max(1, u.Slots))
		at, err := netip.ParseAddrPort(u.Address)
		if err != nil || at.Port() == 0 {
			c.found.Addf(place+".address", "%q is not an IP number and a port, such as 10.0.0.7:8000", decoder.Truncate(u.Address))
			continue
		}
		at = netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
		if other, ok := owner[at]; ok {
			c.found.Addf(place+".address", "%s is also the address of upstream %s", at, other)
			continue
		}
		owner[at] = name
	}
}

func (c *checker) zone(place, zone string) {
	c.name(place, zone)
	if len(c.m.Zones) > 0 {
		c.known(place, "zone", zone, c.zoneNames)
	}
}

// role checks that an upstream serves one thing and has the figures for it.
func (c *checker) role(place string, u Upstream) {
	if (u.Model == "") == (u.Service == "") {
		c.found.Addf(place, "must have either a model or a service")
		return
	}
	if u.Model != "" {
		c.known(place+".model", "model", u.Model, c.modelNames)
		c.within(place+".memory", u.Memory, 1, maxTokens)
		c.within(place+".prefill", u.Prefill, 1, maxTokens)
		c.within(place+".decode", u.Decode, 1, maxTokens)
		return
	}
	c.known(place+".service", "service", u.Service, c.serviceNames)
	c.within(place+".memory", u.Memory, 0, 0)
	c.within(place+".prefill", u.Prefill, 0, 0)
	c.within(place+".decode", u.Decode, 0, 0)
}

// teams checks tokens without repeating them, because a plain token may have
// been written in place of its hash.
func (c *checker) teams() {
	owner := map[string]string{}
	for _, name := range sorted(c.m.Teams) {
		place, t := decoder.JoinPath("teams", name), c.m.Teams[name]
		c.name(place, name)
		c.within(place+".share", t.Share, 1, maxShare)
		for i, token := range t.Tokens {
			at := fmt.Sprintf("%s.tokens[%d]", place, i)
			if !tokenForm.MatchString(token) {
				c.found.Addf(at, `is not "sha256:" and 64 hex digits in lower case`)
				continue
			}
			if other, ok := owner[token]; ok {
				c.found.Addf(at, "is also a token of team %s", other)
				continue
			}
			owner[token] = name
		}
	}
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
