// Package setter reads and validates the settings file of one process: its
// name, addresses, keys, the platform's addresses and the limits of its VM. The
// file is read once, at start; what operators configure for the fleet is in the
// manifest instead.
package setter

import (
	"os"
	"path/filepath"
	"time"

	"github.com/heathervane/heathervane/library/checker"
	"github.com/heathervane/heathervane/library/decoder"
	"github.com/heathervane/heathervane/library/finder"
)

// MaxBytes is the maximum size of a settings file.
const MaxBytes = 64 << 10

// Settings holds the settings of one process.
type Settings struct {
	// ID is the name of the VM, unique in the fleet.
	ID string `toml:"id"`
	// Zone is the VM's availability zone.
	Zone     string   `toml:"zone"`
	Callers  Callers  `toml:"callers"`
	Peers    Peers    `toml:"peers"`
	Watch    Watch    `toml:"watch"`
	Platform Platform `toml:"platform"`
	Limits   Limits   `toml:"limits"`
	Policy   Policy   `toml:"policy"`
}

// Callers configures the listener for callers.
type Callers struct {
	// Address is the IP address and port to listen on; port 0 takes any
	// free port.
	Address string `toml:"address"`
	// Certificate and Key are PEM files. Without both, callers are served
	// without TLS.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

// Peers configures the listener for the other VMs.
type Peers struct {
	// Address is the IP address and port to listen on; port 0 takes any
	// free port.
	Address string `toml:"address"`
	// Secret is the shared secret that VMs prove to each other that they know.
	Secret string `toml:"secret"`
	// Certificate and Key are PEM files, as in Callers.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Authority is a PEM file of CA certificates. If set, each VM must present
	// a certificate signed by this authority.
	Authority string `toml:"authority"`
}

// Watch configures the listener for health checks and metrics scrapers.
type Watch struct {
	// Address is the IP address and port to listen on; port 0 takes any
	// free port.
	Address string `toml:"address"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log  string `toml:"log"`
	List string `toml:"list"`
	// Weights may be empty if engines load their own weights.
	Weights string `toml:"weights"`
}

// Limits bounds what callers may use of the VM.
type Limits struct {
	// Bodies bounds the total size of request bodies held in memory.
	Bodies ByteSize `toml:"bodies"`
	// Body bounds the size of one request's body.
	Body ByteSize `toml:"body"`
	// Header bounds the size of one request's header.
	Header ByteSize `toml:"header"`
	// Streams bounds the number of requests in progress.
	Streams int `toml:"streams"`
	// Drain bounds how long a planned stop waits for requests in progress. It
	// should be above the longest time limit in the manifest.
	Drain checker.Duration `toml:"drain"`
}

// Router names a strategy for choosing the upstream of a request.
type Router string

// The routers. All but RouterBest are baselines for benchmarks.
const (
	RouterBest       Router = "best"
	RouterRandom     Router = "random"
	RouterLeast      Router = "least"
	RouterTwoChoices Router = "two"
)

// Queue names the order in which waiting requests are served.
type Queue string

// The queue orders. QueueFIFO, first come first served, is a baseline for
// benchmarks.
const (
	QueueFair Queue = "fair"
	QueueFIFO Queue = "first"
)

// Engines names a way of dividing engines among requests.
type Engines string

// The ways of dividing engines. With EnginesShared, all engines of a model take
// every prompt, which suits engines that honour priorities. EnginesSplit
// reserves some engines for long prompts. EnginesHomes does too, and also
// assigns each engine to one home VM.
const (
	EnginesShared Engines = "shared"
	EnginesSplit  Engines = "split"
	EnginesHomes  Engines = "homes"
)

// Policy selects the strategies that are used under load.
type Policy struct {
	Router Router `toml:"router"`
	Queue  Queue  `toml:"queue"`
	// Engines selects how engines are divided among requests.
	Engines Engines `toml:"engines"`
}

// Defaults of Limits. They suit a VM with 512 MiB of memory: a prompt of a
// million tokens is about 4 MiB, and all bodies together take at most an eighth
// of the memory. The drain limit is twice the longest time that a request may
// take by the manifest's own defaults: a limit shorter than a request may take
// would abort requests at a planned stop.
const (
	defaultBodies  = 64 << 20
	defaultBody    = 16 << 20
	defaultHeader  = 16 << 10
	defaultStreams = 10_000
	defaultDrain   = 2 * time.Hour
)

func defaultSettings() Settings {
	return Settings{
		Limits: Limits{
			Bodies: defaultBodies, Body: defaultBody, Header: defaultHeader,
			Streams: defaultStreams, Drain: checker.Duration(defaultDrain),
		},
		Policy: Policy{Router: RouterBest, Queue: QueueFair, Engines: EnginesShared},
	}
}

// Read reads the settings file at path. Relative paths in it are resolved
// against its folder. If the file itself could be read, a returned error is a
// *finder.Error with every finding, including those about files that the
// settings name.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	s, findings := Parse(data)
	s.resolvePaths(filepath.Dir(path))
	findings = append(findings, s.unreadableFiles()...)
	return s, findings.Err()
}

// Parse parses settings and returns them with everything that is wrong with
// them. It opens no file that they name.
func Parse(data []byte) (Settings, finder.Findings) {
	s := defaultSettings()
	findings := decoder.Decode(data, &s, MaxBytes)
	c := validator{findings: findings}
	c.settings(s)
	return s, c.findings
}

// filePaths returns pointers to the settings that hold file paths, by setting
// key.
func (s *Settings) filePaths() map[string]*string {
	return map[string]*string{
		"callers.certificate": &s.Callers.Certificate,
		"callers.key":         &s.Callers.Key,
		"peers.certificate":   &s.Peers.Certificate,
		"peers.key":           &s.Peers.Key,
		"peers.authority":     &s.Peers.Authority,
	}
}

func (s *Settings) resolvePaths(folder string) {
	for _, p := range s.filePaths() {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(folder, *p)
		}
	}
}
