// Package checker reads manifests and says what is wrong with them. A manifest
// describes a fleet: its models, upstreams, teams, classes of work and
// services. The package takes no time and no network, so that every VM and
// every operator's machine reaches the same verdict about the same bytes.
package checker

import (
	"time"
)

// A Duration is a time.Duration that a manifest writes as "1.5s" or "10m".
type Duration time.Duration

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// A Manifest is everything that operators decide about a fleet.
type Manifest struct {
	// Seats bounds how many entry VMs hold a fixed share of each upstream.
	Seats int `toml:"seats"`
	// Window is how long the key of a call is known after its first use.
	Window Duration `toml:"window"`
	// Keep is how long the platform's log keeps a record at least. Checkpoints
	// and the keys of calls rest on it; it is longer than Window.
	Keep Duration `toml:"keep"`
	// Loads is how many engines may load a model at once over the whole fleet;
	// the weight store's rate bounds it. Zero means 2.
	Loads int `toml:"loads"`
	// Zones lists the availability zones. Where it is empty, any zone that an
	// upstream names is one.
	Zones []string `toml:"zones"`
	// Classes bound the time of work by prompt length, keyed by name.
	Classes map[string]Class `toml:"classes"`
	// Models are what callers may ask for, keyed by name.
	Models map[string]Model `toml:"models"`
	// Services are plain services, keyed by the NAME of /services/NAME/.
	Services map[string]Service `toml:"services"`
	// Upstreams are engines and plain services' processes, keyed by name.
	Upstreams map[string]Upstream `toml:"upstreams"`
	// Teams are the callers, keyed by name.
	Teams map[string]Team `toml:"teams"`
}

// A Class is a kind of work by prompt length. A prompt belongs to the class
// with the smallest Prompt that still holds it.
type Class struct {
	// Prompt is the longest prompt of the class in tokens.
	Prompt int `toml:"prompt"`
	// Limit is the time limit of a request that asks for none.
	Limit Duration `toml:"limit"`
	// Least and Most bound the limit that a request may ask for.
	Least Duration `toml:"least"`
	Most  Duration `toml:"most"`
}

// A Model is what engines run.
type Model struct {
	// Context is the longest prompt plus answer in tokens, over a group.
	Context int `toml:"context"`
	// Output is the longest answer in tokens, and the default of max_tokens.
	// Zero means 4,096, or Context where that is less.
	Output int `toml:"output"`
	// Bytes is how many bytes of prompt are counted as one token.
	Bytes int `toml:"bytes"`
	// Version is the version of the model that engines should have loaded.
	Version string `toml:"version"`
	// Load is the longest time that an engine takes to load the model. Zero
	// means two minutes; the most is MostLoad.
	Load Duration `toml:"load"`
}

// A Service is a plain service that calls pass through to.
type Service struct {
	// Repeatable lists calls that may be repeated: "GET", or "POST /search"
	// for one method under one path prefix. Empty means GET, HEAD, OPTIONS.
	Repeatable []string `toml:"repeatable"`
	// Keys is "dated" (a key must be a UUID of version 7, so that its age can
	// be proved) or "any". Empty means dated.
	Keys string `toml:"keys"`
	// Limit, Least and Most bound a call's time, as in Class.
	Limit Duration `toml:"limit"`
	Least Duration `toml:"least"`
	Most  Duration `toml:"most"`
}

// An Upstream is one engine or one process of a plain service.
type Upstream struct {
	// Model or Service names what it serves; exactly one is set.
	Model   string `toml:"model"`
	Service string `toml:"service"`
	// Address is its IP number and port for HTTP.
	Address string `toml:"address"`
	// Zone is its availability zone.
	Zone string `toml:"zone"`
	// Slots is how many requests it runs at once when warm.
	Slots int `toml:"slots"`
	// Cold is how many it bears while cold; at least 1.
	Cold int `toml:"cold"`
	// Memory is an engine's KV cache in tokens.
	Memory int `toml:"memory"`
	// Prefill and Decode are an engine's rates in tokens a second: of prompts
	// read in all, and of answer tokens for each stream.
	Prefill int `toml:"prefill"`
	Decode  int `toml:"decode"`
	// Fencing says that it refuses orders with an old fencing number.
	Fencing bool `toml:"fencing"`
}

// A Team is a customer whose callers share a part of the fleet.
type Team struct {
	// Share is its weight beside the other teams; at least 1.
	Share int `toml:"share"`
	// Tokens are hashes of its bearer tokens: "sha256:" and 64 hex digits.
	Tokens []string `toml:"tokens"`
}
