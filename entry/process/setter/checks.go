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
	// minSecretBytes is the minimum length of the peer secret: 16 random bytes
	// are 128 bits, which written as hex take 32 bytes.
	minSecretBytes = 16
	minHeader      = 1 << 10
	minBody        = 1 << 10
	maxHeader      = 1 << 20
	maxBodies      = 64 << 30
	maxStreams     = 10_000_000
	maxDrain       = 24 * time.Hour
)

type validator struct {
	findings finder.Findings
}

func (c *validator) settings(s Settings) {
	c.name("id", s.ID)
	c.name("zone", s.Zone)
	c.address("callers.address", s.Callers.Address)
	c.address("peers.address", s.Peers.Address)
	c.address("watch.address", s.Watch.Address)
	c.distinctAddresses(s)
	c.certificatePair("callers", s.Callers.Certificate, s.Callers.Key)
	c.certificatePair("peers", s.Peers.Certificate, s.Peers.Key)
	if s.Peers.Authority != "" && s.Peers.Certificate == "" {
		c.findings.Addf("peers.authority", "needs a certificate and a key as well")
	}
	if len(s.Peers.Secret) < minSecretBytes {
		c.findings.Addf("peers.secret", "has %d bytes, fewer than %d", len(s.Peers.Secret), minSecretBytes)
	}
	c.url("platform.log", s.Platform.Log)
	c.url("platform.list", s.Platform.List)
	if s.Platform.Weights != "" {
		c.url("platform.weights", s.Platform.Weights)
	}
	c.limits(s.Limits)
	oneOf(c, "policy.router", s.Policy.Router, RouterBest, RouterRandom, RouterLeast, RouterTwoChoices)
	oneOf(c, "policy.queue", s.Policy.Queue, QueueFair, QueueFIFO)
	oneOf(c, "policy.engines", s.Policy.Engines, EnginesShared, EnginesSplit, EnginesHomes)
}

func (c *validator) name(place, name string) {
	if !checker.ValidName(name) {
		c.findings.Addf(place, "%q is not 1 to 40 of a-z, 0-9 and -", decoder.Truncate(name))
	}
}

func (c *validator) address(place, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.findings.Addf(place, "%q is not an IP address and port such as 10.0.0.7:8000", decoder.Truncate(address))
	}
}

// distinctAddresses checks that no two listeners have the same address. Port 0
// is exempt, since it stands for any free port.
func (c *validator) distinctAddresses(s Settings) {
	seen := map[string]string{}
	addresses := []struct{ place, address string }{
		{"callers.address", s.Callers.Address},
		{"peers.address", s.Peers.Address},
		{"watch.address", s.Watch.Address},
	}
	for _, a := range addresses {
		if other, ok := seen[a.address]; ok {
			c.findings.Addf(a.place, "is the same as %s", other)
		}
		if !strings.HasSuffix(a.address, ":0") && a.address != "" {
			seen[a.address] = a.place
		}
	}
}

func (c *validator) certificatePair(place, certificate, key string) {
	if (certificate == "") != (key == "") {
		c.findings.Addf(place, "must have both a certificate and a key, or neither")
	}
}

func (c *validator) url(place, text string) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.User != nil {
		c.findings.Addf(place, "%q is not a URL such as http://10.0.0.5:7000", decoder.Truncate(text))
	}
}

func (c *validator) limits(l Limits) {
	inRange(c, "limits.bodies", l.Bodies, minBody, maxBodies)
	inRange(c, "limits.body", l.Body, minBody, maxBodies)
	inRange(c, "limits.header", l.Header, minHeader, maxHeader)
	inRange(c, "limits.streams", l.Streams, 1, maxStreams)
	if l.Body > l.Bodies {
		c.findings.Addf("limits.body", "is %s, more than limits.bodies (%s)", l.Body, l.Bodies)
	}
	if d := time.Duration(l.Drain); d <= 0 || d > maxDrain {
		c.findings.Addf("limits.drain", "is %s, not above 0s and at most %s", d, maxDrain)
	}
}

func inRange[T ByteSize | int](c *validator, place string, n, lowest, highest T) {
	if n < lowest || n > highest {
		c.findings.Addf(place, "is %v, not between %v and %v", n, lowest, highest)
	}
}

func oneOf[T ~string](c *validator, place string, value T, allowed ...T) {
	if slices.Contains(allowed, value) {
		return
	}
	names := make([]string, 0, len(allowed))
	for _, a := range allowed {
		names = append(names, string(a))
	}
	c.findings.AddHintf(place, string(value), names,
		"is %q, none of %s", decoder.Truncate(string(value)), strings.Join(names, ", "))
}

// unreadableFiles reports the files named in the settings that cannot be read.
func (s *Settings) unreadableFiles() finder.Findings {
	var findings finder.Findings
	paths := s.filePaths()
	for _, place := range slices.Sorted(maps.Keys(paths)) {
		path := *paths[place]
		if path == "" {
			continue
		}
		f, err := os.Open(path)
		if err != nil {
			findings.Addf(place, "cannot be read: %v", err)
			continue
		}
		f.Close()
	}
	return findings
}
