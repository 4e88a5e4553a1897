// Package checker parses and validates manifests. A manifest describes a fleet:
// its models, upstreams, teams, work classes and services. The package uses
// neither a clock nor the network, so that every VM and every operator's
// machine gets the same result for the same bytes.
package checker

import (
	"time"
)

// A Duration is a time.Duration that is written as "1.5s" or "10m" in a
// manifest.
type Duration time.Duration

// UnmarshalText parses the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText returns the format that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// A Manifest is the configuration of a fleet that operators write.
type Manifest struct {
	// Seats is the maximum number of entry VMs that hold a fixed share of each
	// upstream.
	Seats int `toml:"seats"`
	// Window is how long an idempotency key is remembered after its first use.
	Window Duration `toml:"window"`
	// Keep is the minimum time for which the platform's log keeps a record.
	// Checkpoints and idempotency keys depend on it; it must be longer than
	// Window.
	Keep Duration `toml:"keep"`
	// Loads is the maximum number of engines in the fleet that load a model at
	// the same time, which the throughput of the weight store limits. Zero
	// means 2.
	Loads int `toml:"loads"`
	// Zones lists the availability zones. If it is empty, upstreams may name
	// any zone.
	Zones []string `toml:"zones"`
	// Classes limit the time of requests by prompt length, keyed by name.
	Classes map[string]Class `toml:"classes"`
	// Models are the models that callers may request, keyed by name.
	Models map[string]Model `toml:"models"`
	// Services are the plain services, keyed by the NAME in /services/NAME/.
	Services map[string]Service `toml:"services"`
	// Upstreams are engines and processes of plain services, keyed by name.
	Upstreams map[string]Upstream `toml:"upstreams"`
	// Teams are the callers, keyed by name.
	Teams map[string]Team `toml:"teams"`
}

// A Class groups requests by prompt length. A request belongs to the class with
// the smallest Prompt that is not shorter than its prompt.
type Class struct {
	// Prompt is the length of the longest prompt of the class in tokens.
	Prompt int `toml:"prompt"`
	// Limit is the default time limit of a request.
	Limit Duration `toml:"limit"`
	// Least and Most are the bounds of the time limit that a request may set.
	Least Duration `toml:"least"`
	Most  Duration `toml:"most"`
}

// A Model is a model that engines run.
type Model struct {
	// Context is the maximum length of prompt and answer together in tokens,
	// over a group.
	Context int `toml:"context"`
	// Output is the maximum length of an answer in tokens, and the default of
	// max_tokens. Zero means 4,096, or Context if that is less.
	Output int `toml:"output"`
	// Bytes is the number of prompt bytes that count as one token.
	Bytes int `toml:"bytes"`
	// Version is the model version that engines should have loaded.
	Version string `toml:"version"`
	// Load is the longest time that an engine takes to load the model. Zero
	// means two minutes; the maximum is MaxLoad.
	Load Duration `toml:"load"`
}

// A Service is a plain service to which calls are proxied.
type Service struct {
	// Repeatable lists the calls that are safe to repeat: "GET" for a method,
	// or "POST /search" for a method under a path prefix. Empty means GET, HEAD
	// and OPTIONS.
	Repeatable []string `toml:"repeatable"`
	// Keys is "dated" (an idempotency key must be a version 7 UUID, so that its
	// age can be verified) or "any". Empty means dated.
	Keys string `toml:"keys"`
	// Limit, Least and Most limit the time of a call, as in Class.
	Limit Duration `toml:"limit"`
	Least Duration `toml:"least"`
	Most  Duration `toml:"most"`
}

// An Upstream is an engine or a process of a plain service.
type Upstream struct {
	// Model or Service is the name of what it serves; exactly one is set.
	Model   string `toml:"model"`
	Service string `toml:"service"`
	// Address is its IP address and port for HTTP.
	Address string `toml:"address"`
	// Zone is its availability zone.
	Zone string `toml:"zone"`
	// Slots is how many concurrent requests it runs when warm.
	Slots int `toml:"slots"`
	// Cold is how many concurrent requests it can run while cold; at least 1.
	Cold int `toml:"cold"`
	// Memory is the size of an engine's KV cache in tokens.
	Memory int `toml:"memory"`
	// Prefill and Decode are an engine's rates in tokens per second: prompt
	// tokens over all requests, and answer tokens per stream.
	Prefill int `toml:"prefill"`
	Decode  int `toml:"decode"`
	// Fencing says that it refuses orders with an outdated fencing number.
	Fencing bool `toml:"fencing"`
}

// A Team is a customer whose callers share a part of the fleet.
type Team struct {
	// Share is its weight relative to other teams; at least 1.
	Share int `toml:"share"`
	// Tokens are the hashes of its bearer tokens: "sha256:" followed by 64 hex
	// digits.
	Tokens []string `toml:"tokens"`
}
