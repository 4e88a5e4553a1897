package setter

import (
	"maps"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/heathervane/heathervane/library/checker"
	"github.com/heathervane/heathervane/library/decoder"
	"github.com/heathervane/heathervane/library/finder"
)

const (
	// minSecret is the shortest secret in bytes: 128 bits where it is random
	// hex would be 32, and 16 where it is random bytes.
	minSecret  = 16
	minHeader  = 1 << 10
	minBody    = 1 << 10
	maxHeader  = 1 << 20
	maxBodies  = 64 << 30
	maxStreams = 10_000_000
	maxDrain   = 24 * time.Hour
)

type checks struct {
	found finder.Findings
}

func (c *checks) settings(s Settings) {
	c.name("id", s.ID)
	c.name("zone", s.Zone)
	c.address("callers.address", s.Callers.Address)
	c.address("peers.address", s.Peers.Address)
	c.address("watch.address", s.Watch.Address)
	c.apart(s)
	c.pair("callers", s.Callers.Certificate, s.Callers.Key)
	c.pair("peers", s.Peers.Certificate, s.Peers.Key)
	if s.Peers.Authority != "" && s.Peers.Certificate == "" {
		c.found.Addf("peers.authority", "needs a certificate and a key beside it")
	}
	if len(s.Peers.Secret) < minSecret {
		c.found.Addf("peers.secret", "has %d bytes, fewer than %d", len(s.Peers.Secret), minSecret)
	}
	c.url("platform.log", s.Platform.Log)
	c.url("platform.list", s.Platform.List)
	if s.Platform.Weights != "" {
		c.url("platform.weights", s.Platform.Weights)
	}
	c.limits(s.Limits)
	oneOf(c, "policy.router", s.Policy.Router, RouterBest, RouterRandom, RouterLeast, RouterTwo)
	oneOf(c, "policy.queue", s.Policy.Queue, QueueFair, QueueFirst)
	oneOf(c, "policy.engines", s.Policy.Engines, EnginesShared, EnginesSplit, EnginesHomes)
}

func (c *checks) name(place, name string) {
	if !checker.ValidName(name) {
		c.found.Addf(place, "%q is not 1 to 40 of a-z, 0-9 and -", decoder.Truncate(name))
	}
}

func (c *checks) address(place, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.found.Addf(place, "%q is not an IP number and a port, such as 10.0.0.7:8000", decoder.Truncate(address))
	}
}

// apart checks that the three sides do not claim one address.
func (c *checks) apart(s Settings) {
	seen := map[string]string{}
	sides := []struct{ place, address string }{
		{"callers.address", s.Callers.Address},
		{"peers.address", s.Peers.Address},
		{"watch.address", s.Watch.Address},
	}
	for _, side := range sides {
		if other, ok := seen[side.address]; ok {
			c.found.Addf(side.place, "is the same as %s", other)
		}
		if !strings.HasSuffix(side.address, ":0") && side.address != "" {
			seen[side.address] = side.place
		}
	}
}

func (c *checks) pair(place, certificate, key string) {
	if (certificate == "") != (key == "") {
		c.found.Addf(place, "must have both a certificate and a key, or neither")
	}
}

func (c *checks) url(place, text string) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.User != nil {
		c.found.Addf(place, "%q is not a URL such as http://10.0.0.5:7000", decoder.Truncate(text))
	}
}

func (c *checks) limits(l Limits) {
	within(c, "limits.bodies", l.Bodies, minBody, maxBodies)
	within(c, "limits.body", l.Body, minBody, maxBodies)
	within(c, "limits.header", l.Header, minHeader, maxHeader)
	within(c, "limits.streams", l.Streams, 1, maxStreams)
	if l.Body > l.Bodies {
		c.found.Addf("limits.body", "is %s, more than limits.bodies (%s)", l.Body, l.Bodies)
	}
	if d := time.Duration(l.Drain); d <= 0 || d > maxDrain {
		c.found.Addf("limits.drain", "is %s, not above 0s and at most %s", d, maxDrain)
	}
}

func within[T Size | int](c *checks, place string, n, least, most T) {
	if n < least || n > most {
		c.found.Addf(place, "is %v, not between %v and %v", n, least, most)
	}
}

func oneOf[T ~string](c *checks, place string, value T, allowed ...T) {
	if slices.Contains(allowed, value) {
		return
	}
	words := make([]string, 0, len(allowed))
	for _, a := range allowed {
		words = append(words, string(a))
	}
	c.found.AddHintf(place, string(value), words,
		"is %q, none of %s", decoder.Truncate(string(value)), strings.Join(words, ", "))
}

// files reports the files that the settings name and that can't be read.
func (s *Settings) files() finder.Findings {
	var found finder.Findings
	paths := s.paths()
	for _, place := range slices.Sorted(maps.Keys(paths)) {
		path := *paths[place]
		if path == "" {
			continue
		}
		f, err := os.Open(path)
		if err != nil {
			found.Addf(place, "can't be read: %v", err)
			continue
		}
		f.Close()
	}
	return found
}
