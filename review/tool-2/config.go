package main

import "encoding/json"

// A config is the operator's configuration.
type config struct {
	version  int
	limits   map[string]any
	keys     map[string][]string
	routes   []map[string]any
	services []map[string]any
}

func route(name, kind, service string, timeoutMs int) map[string]any {
	return map[string]any{
		"Name": "r-" + name, "Host": "ficu95.example", "PathPrefix": "/" + name + "/", "RouteKind": kind, "Service": service,
		"TimeoutMs": timeoutMs, "SloMs": 300, "Priority": 1, "MaxAttempts": 2, "Anonymous": false, "Sticky": kind == "streaming",
		"Resumable": kind == "streaming", "GapTargetMs": 250,
	}
}

// newConfig returns a configuration like that of a small deployment: one pool of engines and
// one plain service.
func newConfig() *config {
	ask := route("ask", "streaming", "pool", 15000)
	ask["SloMs"], ask["GapTargetMs"] = 3000, 1000
	return &config{
		version: 7,
		limits:  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		keys:    map[string][]string{"hule930": {"n2ctnfzs989anu6wsjnb"}, "sova221": {"b7qk2m4x8c1v5n9z3l6p"}},
		routes:  []map[string]any{ask, route("swap", "unsafe", "app", 1500), route("look", "safe", "app", 1500)},
		services: []map[string]any{
			{"Name": "app", "HealthPath": "/health", "MaxConns": 110},
			{"Name": "pool", "HealthPath": "/health", "MaxConns": 224, "ColdStartS": 3.0, "ColdPerS": 26.0, "Engine": map[string]any{
				"Slots": 16, "KvCapacityTokens": 232000, "Stride": 43, "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431,
				"read_per_s": 206000, "pairs_per_m": 0.138, "chunk": 2048, "HopMs": 0.075, "usual": map[string]any{"prompt": 5000, "answer": 1360},
				"report_lag_ms": 200,
			}},
		},
	}
}

// publish writes the configuration to the store with a new version.
func (c *config) publish(s *store) {
	c.version += 3
	var tenants []any
	for name, keys := range c.keys {
		tenants = append(tenants, map[string]any{"Name": name, "ApiKeys": keys})
	}
	data, err := json.Marshal(map[string]any{"Version": c.version, "Routes": c.routes, "Services": c.services, "Limits": c.limits, "Tenants": tenants})
	if err != nil {
		cannotRun("%v", err)
	}
	s.put("keyed.op", "config", data)
	note("the operator writes version %d of the configuration", c.version)
}

const (
	key      = "n2ctnfzs989anu6wsjnb"
	otherKey = "b7qk2m4x8c1v5n9z3l6p"
)
