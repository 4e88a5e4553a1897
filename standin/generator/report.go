package generator

import (
	"math"
	"time"
)

// A report is the load, in its form for callers.
type report struct {
	Boot    uint64 `json:"boot"`
	Age     int64  `json:"age_ms"`
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Slots   int    `json:"slots"`
	Used    int    `json:"used"`
	Memory  int    `json:"memory"`
	Left    int    `json:"prefill_left"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Cold    bool   `json:"cold"`
}

// reportEvery is the least time between two kept reports.
const reportEvery = 10 * time.Millisecond

// report is the load now.
func (g *Generator) report() report {
	left := 0.0
	for _, s := range g.running {
		left += s.left
	}
	for _, s := range g.waiting {
		left += s.left
	}
	return report{
		Boot: g.warm.Boot(), Running: len(g.running), Waiting: len(g.waiting),
		Slots: g.config.Slots, Used: g.used, Memory: g.config.Memory, Left: int(math.Round(left)),
		Model: g.model.name, Version: g.model.version, Role: g.model.role, Cold: g.warm.Cold(),
	}
}
