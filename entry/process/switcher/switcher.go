// Package switcher says which optional features of a VM are used: as the operators'
// settings say or, where these leave it open, as the configuration in force calls for.
package switcher

import "github.com/zeebo/errs"

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

// A Policy selects features that decide under load. Its zero value leaves each to the
// configuration.
type Policy struct {
	// Admission refuses requests at once that cannot be served in time, and Claims keeps
	// a place for those that come back when told to. A service whose requests have
	// different priorities calls for both.
	Admission, Claims Mode
	// Headroom keeps capacity free for more urgent requests, Preemption takes back
	// requests that have not begun for them, and Shares divides capacity by weight among
	// priorities, prompt lengths and teams. Different priorities call for these too.
	Headroom, Preemption, Shares Mode
	// Memory accounts for what the VM and the upstreams hold for slow readers. It is
	// always called for.
	Memory Mode
	// Lending moves engines between the groups of a service, and Forecasts prepares for
	// expected arrivals. A service with several groups calls for them.
	Lending, Forecasts Mode
	// Speeds learns how fast each upstream is. A service with several groups, or whose
	// requests have different priorities, calls for it.
	Speeds Mode
}
