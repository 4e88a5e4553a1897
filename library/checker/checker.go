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

// MaxBytes is the maximum size of a manifest in bytes: enough for 12,000
// upstreams and 2,700 teams, and half as much again. Compressed, a manifest
// must also fit into a record of the log.
const MaxBytes = 3 << 20

// The two values of Service.Keys.
const (
	KeysDated = "dated"
	KeysAny   = "any"
)

// Limits on single values. They are far above those of any expected fleet and
// keep sums over a manifest well within an int64.
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
	namePattern    = regexp.MustCompile(`^[a-z0-9-]{1,40}$`)
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,40}$`)
	tokenPattern   = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
	methods        = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}
)

// ValidName reports whether a name is valid in a manifest: 1 to 40 characters
// of a to z, 0 to 9 and the hyphen.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Parse parses a manifest, fills in defaults, and returns all findings. A
// manifest with findings must not be put in force.
func Parse(data []byte) (Manifest, finder.Findings) {
	m := defaultManifest()
	found := decoder.Decode(data, &m, MaxBytes)
	if len(data) == 0 {
		// A failed pipeline may produce an empty file, which would stop the
		// fleet if it were put in force.
		found.Addf("line 1", "is empty")
	}
	m.setDerivedDefaults()
	c := checker{
		m: &m, findings: found,
		zoneNames:    slices.Sorted(slices.Values(m.Zones)),
		modelNames:   sortedKeys(m.Models),
		serviceNames: sortedKeys(m.Services),
	}
	c.checkTopLevel()
	c.checkClasses()
	c.checkModels()
	c.checkServices()
	c.checkUpstreams()
	c.checkTeams()
	return m, c.findings
}

// checker validates one manifest and collects the findings.
type checker struct {
	m        *Manifest
	findings finder.Findings

	// The names that upstreams may refer to, sorted.
	zoneNames, modelNames, serviceNames []string
}

// checkRange adds a finding if a number is not between least and most.
func (c *checker) checkRange(place string, n, least, most int) {
	if n < least || n > most {
		c.findings.Addf(place, "is %d, not between %d and %d", n, least, most)
	}
}

func (c *checker) checkName(place, name string) {
	if !ValidName(name) {
		c.findings.Addf(place, "the name %q is not 1 to 40 of a-z, 0-9 and -", decoder.Truncate(name))
	}
}

// checkReference adds a finding if a reference names an entry that does not
// exist; names must be sorted.
func (c *checker) checkReference(place, kind, name string, names []string) {
	if _, ok := slices.BinarySearch(names, name); ok {
		return
	}
	c.findings.AddHintf(place, name, names,
		"names the %s %q, which the manifest does not have", kind, decoder.Truncate(name))
}

func (c *checker) checkTopLevel() {
	c.checkRange("seats", c.m.Seats, 1, maxSeats)
	c.checkRange("loads", c.m.Loads, 0, maxSeats)
	window, keep := time.Duration(c.m.Window), time.Duration(c.m.Keep)
	if window < minWindow || window > maxTime {
		c.findings.Addf("window", "is %s, not between %s and %s", window, minWindow, maxTime)
	}
	if keep <= window || keep > 2*maxTime {
		c.findings.Addf("keep", "is %s, not longer than window (%s) and at most %s", keep, window, 2*maxTime)
	}
	if keep < MinKeep {
		c.findings.Addf("keep", "is %s, shorter than %s", keep, MinKeep)
	}
	seen := map[string]bool{}
	for i, zone := range c.m.Zones {
		place := fmt.Sprintf("zones[%d]", i)
		c.checkName(place, zone)
		if seen[zone] {
			c.findings.Addf(place, "names the zone %q twice", decoder.Truncate(zone))
		}
		seen[zone] = true
	}
}

// checkLimits checks a default time limit and its bounds.
func (c *checker) checkLimits(place string, limit, least, most Duration) {
	if least <= 0 {
		c.findings.Addf(place+".least", "is %s, not above 0s", time.Duration(least))
	}
	if limit < least || limit > most {
		c.findings.Addf(place+".limit", "is %s, not between least (%s) and most (%s)",
			time.Duration(limit), time.Duration(least), time.Duration(most))
	}
	if time.Duration(most) > maxTime {
		c.findings.Addf(place+".most", "is %s, more than %s", time.Duration(most), maxTime)
	}
}

// checkClasses checks that no two classes have the same longest prompt, and
// that a class with longer prompts doesn't have a shorter time limit.
func (c *checker) checkClasses() {
	names := slices.SortedFunc(maps.Keys(c.m.Classes), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.m.Classes[a].Prompt, c.m.Classes[b].Prompt), cmp.Compare(a, b))
	})
	for i, name := range names {
		place, class := decoder.JoinPath("classes", name), c.m.Classes[name]
		c.checkName(place, name)
		c.checkRange(place+".prompt", class.Prompt, 1, maxTokens)
		c.checkLimits(place, class.Limit, class.Least, class.Most)
		if i == 0 {
			continue
		}
		below := c.m.Classes[names[i-1]]
		if class.Prompt == below.Prompt {
			c.findings.Addf(place+".prompt", "is %d, the same as that of class %s", class.Prompt, names[i-1])
		}
		if class.Limit < below.Limit {
			c.findings.Addf(place+".limit", "is %s, less than the %s of class %s with shorter prompts",
				time.Duration(class.Limit), time.Duration(below.Limit), names[i-1])
		}
	}
}

func (c *checker) checkModels() {
	for _, name := range c.modelNames {
		place, m := decoder.JoinPath("models", name), c.m.Models[name]
		c.checkName(place, name)
		c.checkRange(place+".context", m.Context, 1, maxTokens)
		c.checkRange(place+".output", m.Output, 1, max(1, m.Context))
		c.checkRange(place+".bytes", m.Bytes, 1, maxBytes)
		if load := time.Duration(m.Load); load < 0 || load > MaxLoad {
			c.findings.Addf(place+".load", "is %s, not between 0s and %s", load, MaxLoad)
		}
		if !versionPattern.MatchString(m.Version) {
			c.findings.Addf(place+".version", "%q is not 1 to 40 of letters, digits, dot, _ and -", decoder.Truncate(m.Version))
		}
	}
}

func (c *checker) checkServices() {
	for _, name := range c.serviceNames {
		place, s := decoder.JoinPath("services", name), c.m.Services[name]
		c.checkName(place, name)
		c.checkLimits(place, s.Limit, s.Least, s.Most)
		if s.Keys != KeysDated && s.Keys != KeysAny {
			c.findings.AddHintf(place+".keys", s.Keys, []string{KeysDated, KeysAny},
				"is %q, not %q or %q", decoder.Truncate(s.Keys), KeysDated, KeysAny)
		}
		for i, call := range s.Repeatable {
			c.checkRepeatable(fmt.Sprintf("%s.repeatable[%d]", place, i), call)
		}
	}
}

func (c *checker) checkRepeatable(place, call string) {
	method, path, split := strings.Cut(call, " ")
	if !slices.Contains(methods, method) {
		c.findings.AddHintf(place, strings.ToUpper(method), methods,
			"the method %q is none of %s", decoder.Truncate(method), strings.Join(methods, ", "))
	}
	if split && (!strings.HasPrefix(path, "/") || strings.ContainsAny(path, " ?#")) {
		c.findings.Addf(place, "%q is not a path that begins with /", decoder.Truncate(path))
	}
}

func (c *checker) checkUpstreams() {
	owner := map[netip.AddrPort]string{}
	for _, name := range sortedKeys(c.m.Upstreams) {
		place, u := decoder.JoinPath("upstreams", name), c.m.Upstreams[name]
		c.checkName(place, name)
		c.checkRole(place, u)
		c.checkZone(place+".zone", u.Zone)
		c.checkRange(place+".slots", u.Slots, 1, maxSlots)
		c.checkRange(place+".cold", u.Cold, 1, max(1, u.Slots))
		at, err := netip.ParseAddrPort(u.Address)
		if err != nil || at.Port() == 0 {
			c.findings.Addf(place+".address", "%q is not an IP number and a port, such as 10.0.0.7:8000", decoder.Truncate(u.Address))
			continue
		}
		at = netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
		if other, ok := owner[at]; ok {
			c.findings.Addf(place+".address", "%s is also the address of upstream %s", at, other)
			continue
		}
		owner[at] = name
	}
}

func (c *checker) checkZone(place, zone string) {
	c.checkName(place, zone)
	if len(c.m.Zones) > 0 {
		c.checkReference(place, "zone", zone, c.zoneNames)
	}
}

// checkRole checks that an upstream serves either a model or a service, and has
// the parameters for it.
func (c *checker) checkRole(place string, u Upstream) {
	if (u.Model == "") == (u.Service == "") {
		c.findings.Addf(place, "must have either a model or a service")
		return
	}
	if u.Model != "" {
		c.checkReference(place+".model", "model", u.Model, c.modelNames)
		c.checkRange(place+".memory", u.Memory, 1, maxTokens)
		c.checkRange(place+".prefill", u.Prefill, 1, maxTokens)
		c.checkRange(place+".decode", u.Decode, 1, maxTokens)
		return
	}
	c.checkReference(place+".service", "service", u.Service, c.serviceNames)
	c.checkRange(place+".memory", u.Memory, 0, 0)
	c.checkRange(place+".prefill", u.Prefill, 0, 0)
	c.checkRange(place+".decode", u.Decode, 0, 0)
}

// checkTeams checks teams and their tokens. Findings don't quote tokens,
// because a plain token may have been written instead of its hash.
func (c *checker) checkTeams() {
	owner := map[string]string{}
	for _, name := range sortedKeys(c.m.Teams) {
		place, t := decoder.JoinPath("teams", name), c.m.Teams[name]
		c.checkName(place, name)
		c.checkRange(place+".share", t.Share, 1, maxShare)
		for i, token := range t.Tokens {
			at := fmt.Sprintf("%s.tokens[%d]", place, i)
			if !tokenPattern.MatchString(token) {
				c.findings.Addf(at, `is not "sha256:" and 64 hex digits in lower case`)
				continue
			}
			if other, ok := owner[token]; ok {
				c.findings.Addf(at, "is also a token of team %s", other)
				continue
			}
			owner[token] = name
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
