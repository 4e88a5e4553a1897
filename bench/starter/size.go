package starter

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// A Size says how large a fleet is and what its upstreams bear. Rates are
// scaled up, so that a minute of the bench stands for many minutes of a real
// engine; only relations between times carry over.
type Size struct {
	// Zones are the availability zones; VMs and upstreams go round them.
	Zones []string
	// VMs, Engines and Services count the processes of each kind.
	VMs, Engines, Services int
	// Service is the name of the plain service.
	Service string
	// Model is the name of the model that engines run.
	Model string
	// Bytes is how many bytes of prompt are one token.
	Bytes int
	// Slots, Cold and Memory bound an engine: requests at once when warm and
	// when cold, and tokens of KV cache.
	Slots, Cold, Memory int
	// Prefill and Decode are an engine's rates in tokens a second.
	Prefill, Decode int
	// Context and Output are the model's longest prompt and answer in tokens.
	Context, Output int
	// ServiceSlots and ServiceCold bound a process of the plain service.
	ServiceSlots, ServiceCold int
	// Work is how long a call of the plain service takes.
	Work time.Duration
	// Warm is how many completed requests make a cold upstream warm.
	Warm int
	// Lag is how old an upstream's report and the list may be.
	Lag time.Duration
	// Load is how long an engine takes to load a model; 0 leaves the stand-in's.
	Load time.Duration
	// Teams are the shares by team name.
	Teams map[string]int
}

// Sizes are the fleets by name: a small one for the demonstration, and the two
// of today's users.
func Sizes() map[string]Size {
	return map[string]Size{"small": small(), "hanbit": hanbit(), "altmuehl": altmuehl()}
}

// SizeNamed finds a size, and names the ones there are where it is unknown.
func SizeNamed(name string) (Size, error) {
	s, ok := Sizes()[name]
	if !ok {
		known := slices.Sorted(maps.Keys(Sizes()))
		return Size{}, errs.New("no fleet %q; there are %s", name, strings.Join(known, ", "))
	}
	return s, nil
}

func small() Size {
	return Size{
		Zones: []string{"a", "b", "c"}, VMs: 3, Engines: 4, Services: 2,
		Service: "booking", Model: "assistant", Bytes: 4,
		Slots: 8, Cold: 2, Memory: 40_000, Prefill: 60_000, Decode: 100,
		Context: 160_000, Output: 256,
		ServiceSlots: 16, ServiceCold: 4, Work: 20 * time.Millisecond,
		Warm: 4, Lag: 200 * time.Millisecond,
		Teams: map[string]int{"stewards": 2, "reps": 1},
	}
}

func hanbit() Size {
	return Size{
		Zones: []string{"seoul-a", "seoul-b", "seoul-c"}, VMs: 8, Engines: 24, Services: 3,
		Service: "booking", Model: "assistant", Bytes: 1,
		Slots: 16, Cold: 2, Memory: 480_000, Prefill: 80_000, Decode: 100,
		Context: 1_100_000, Output: 256,
		ServiceSlots: 32, ServiceCold: 4, Work: 20 * time.Millisecond,
		Warm: 8, Lag: 500 * time.Millisecond,
		Teams: tenTeams(3),
	}
}

func altmuehl() Size {
	s := hanbit()
	s.Zones = []string{"bavaria-a", "bavaria-b", "bavaria-c"}
	s.Engines = 15
	s.Service, s.Model = "rota", "rota"
	s.Teams = tenTeams(2)
	return s
}

// tenTeams are team1 to team10, of which the first few have four times the share.
func tenTeams(large int) map[string]int {
	teams := make(map[string]int)
	for i := range 10 {
		share := 1
		if i < large {
			share = 4
		}
		teams[fmt.Sprintf("team%d", i+1)] = share
	}
	return teams
}
