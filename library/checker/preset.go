package checker

import "time"

// MaxLoad is the longest time that a model may say that it takes to load.
// Holders write their claims again after a quarter of LeastKeep, and order an
// engine only once they have held it under one claim for longer than a load.
const MaxLoad = 10 * time.Minute

// MinKeep is the shortest time for which a platform's log may keep records.
// Claims to upstreams are written again well within it. Were they forgotten
// while their holder lends, a VM that starts then would see nobody's claim, make
// one, and lend the same slots a second time.
const MinKeep = time.Hour

// Defaults of a manifest. Limits of time suit an assistant that answers in
// seconds; operators with longer work write their own.
const (
	defaultSeats  = 9 // the largest number of entry VMs in use today
	defaultWindow = 10 * time.Minute
	defaultKeep   = MinKeep
	defaultOutput = 4096
	defaultBytes  = 4
)

func preset() Manifest {
	return Manifest{
		Seats:  defaultSeats,
		Window: Duration(defaultWindow),
		Keep:   Duration(defaultKeep),
	}
}

// SetDefaults fills in the limits of a class that names none.
func (c *Class) SetDefaults() {
	c.Limit, c.Least, c.Most = Duration(time.Minute), Duration(time.Second), Duration(10*time.Minute)
}

// SetDefaults fills in the defaults of a model.
func (m *Model) SetDefaults() {
	m.Bytes, m.Version = defaultBytes, "1"
}

// SetDefaults fills in the defaults of a service.
func (s *Service) SetDefaults() {
	s.Keys = KeysDated
	s.Limit, s.Least, s.Most = Duration(10*time.Second), Duration(100*time.Millisecond), Duration(time.Minute)
}

// SetDefaults fills in the defaults of an upstream: one request while it is cold.
func (u *Upstream) SetDefaults() { u.Cold = 1 }

// SetDefaults fills in the defaults of a team.
func (t *Team) SetDefaults() { t.Share = 1 }

// fill sets what depends on other values, after reading.
func (m *Manifest) fill() {
	if len(m.Classes) == 0 {
		m.Classes = map[string]Class{
			"short": classOf(8_000, time.Minute),
			"long":  classOf(100_000, 5*time.Minute),
			"huge":  classOf(2_000_000, 30*time.Minute),
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

func classOf(prompt int, limit time.Duration) Class {
	return Class{Prompt: prompt, Limit: Duration(limit), Least: Duration(time.Second), Most: Duration(2 * limit)}
}
