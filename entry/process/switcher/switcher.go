// Package switcher says which optional features of a VM are used: as the operators'
// settings say or, where these leave it open, as the configuration in force calls for.
package switcher

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("policy")

// A Mode says whether a feature is used.
type Mode int

const (
	// Auto uses the feature where the configuration calls for it.
	Auto Mode = iota
	// On always uses it.
	On
	// Off never uses it.
	Off
)

// ParseMode parses a setting; empty means Auto.
func ParseMode(text string) (Mode, error) {
	switch text {
	case "", "auto":
		return Auto, nil
	case "on":
		return On, nil
	case "off":
		return Off, nil
	}
	return Auto, Error.New("want auto, on or off, got %q", text)
}

// Enabled reports whether the feature is used; called says whether the configuration
// calls for it.
func (m Mode) Enabled(called bool) bool { return m == On || (m == Auto && called) }

// DefaultMemoryPercent leaves most of the VM's memory to the runtime, the copies of the
// platform's records and garbage.
const DefaultMemoryPercent = 30

// DefaultAnswerBytes is far above what services answer, and little for a VM that reads from
// some upstreams that never end.
const DefaultAnswerBytes = 2 << 20

// A Policy selects features that decide under load. Its zero value leaves each to the
// configuration.
type Policy struct {
	// Admission refuses requests at once that cannot be served in time, and Claims keeps
	// a place for those that come back when told to. A service whose routes have
	// different priorities calls for both.
	Admission, Claims Mode
	// Headroom keeps capacity free for more urgent requests, Preemption takes back
	// requests that have not begun for them, and Shares divides capacity by weight among
	// priorities, prompt lengths and teams. Different priorities call for these too.
	Headroom, Preemption, Shares Mode
	// PriorityWeights are the weights of a service's priorities by rank, from 0 for the
	// most urgent, and TeamWeights those of teams, for Shares. A rank that is missing has
	// half of the weight of the one before, and a team that is missing has the weight 1.
	PriorityWeights map[int]float64
	TeamWeights     map[string]float64
	// Memory accounts for what the VM and the upstreams hold for slow readers. It is
	// always called for.
	Memory Mode
	// MemoryPercent is the part of the VM's memory that requests may use; 0 means
	// DefaultMemoryPercent.
	MemoryPercent int64
	// AnswerBytes limits the answers of services that do not state their length; 0 means
	// DefaultAnswerBytes.
	AnswerBytes int64
	// Lending moves engines between the groups of a service, and Forecasts lets it prepare
	// for expected arrivals. Nothing but the settings calls for Lending; a service with
	// several groups calls for Forecasts where there is Lending.
	Lending, Forecasts Mode
	// Loan is how long an engine is lent to another group unless the loan is renewed, and
	// LendingPart the largest part of a group's engines that may be lent; zero for the
	// defaults.
	Loan        time.Duration
	LendingPart float64
	// Speeds learns how fast each upstream is. Nothing but the settings calls for it.
	Speeds Mode
	// Inspection asks engines what they still do after most VMs have started again. A
	// service whose engines name their usual prompts and answers calls for it.
	Inspection Mode
}
