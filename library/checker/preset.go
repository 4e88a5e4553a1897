package checker

import "time"

// MaxLoad is the maximum of Model.Load. Holders write their claims again after
// a quarter of MinKeep, and order an engine only once they have held it under
// one claim for longer than a load.
const MaxLoad = 10 * time.Minute

// MinKeep is the minimum of Manifest.Keep. Claims to upstreams are written
// again well within this time. If the log dropped a claim whose holder still
// lends slots, a VM that starts then would see no claim, make its own, and lend
// the same slots a second time.
const MinKeep = time.Hour

// Defaults of a manifest. The time limits suit an assistant that answers within
// seconds; operators with longer work set their own.
const (
	defaultSeats  = 9 // the largest number of entry VMs in use
	defaultWindow = 10 * time.Minute
	defaultKeep   = MinKeep
	defaultOutput = 4096
	defaultBytes  = 4
)

func defaultManifest() Manifest {
	return Manifest{
		Seats:  defaultSeats,
		Window: Duration(defaultWindow),
		Keep:   Duration(defaultKeep),
	}
}

// SetDefaults sets the default time limits of a class.
func (c *Class) SetDefaults() {
	c.Limit, c.Least, c.Most = Duration(time.Minute), Duration(time.Second), Duration(10*time.Minute)
}

// SetDefaults sets the defaults of a model.
func (m *Model) SetDefaults() {
	m.Bytes, m.Version = defaultBytes, "1"
}

// SetDefaults sets the defaults of a service.
func (s *Service) SetDefaults() {
	s.Keys = KeysDated
	s.Limit, s.Least, s.Most = Duration(10*time.Second), Duration(100*time.Millisecond), Duration(time.Minute)
}

// SetDefaults sets the defaults of an upstream: one concurrent request while it
// is cold.
func (u *Upstream) SetDefaults() { u.Cold = 1 }

// SetDefaults sets the defaults of a team.
func (t *Team) SetDefaults() { t.Share = 1 }

// setDerivedDefaults sets the defaults that depend on other values, after
// decoding.
func (m *Manifest) setDerivedDefaults() {
	if len(m.Classes) == 0 {
		m.Classes = map[string]Class{
			"short": newClass(8_000, time.Minute),
			"long":  newClass(100_000, 5*time.Minute),
			"huge":  newClass(2_000_000, 30*time.Minute),
		}
	}
	for name, model := range m.Models {
		if model.Output == 0 {
			model.Output = min(defaultOutput, model.Context)
		}
		m.Models[name] = model
	}
	for name, s := range m.Services {
		if len(s.Repeatable) == 0 {
			s.Repeatable = []string{"GET", "HEAD", "OPTIONS"}
		}
		m.Services[name] = s
	}
}

func newClass(prompt int, limit time.Duration) Class {
	return Class{Prompt: prompt, Limit: Duration(limit), Least: Duration(time.Second), Most: Duration(2 * limit)}
}
