// Package setter reads the settings of one process: its name, addresses, keys,
// the platform's addresses and the limits of its VM. They are read once at
// start; what operators decide about the fleet stands in the manifest instead.
package setter

import (
	"os"
	"path/filepath"
	"time"

	"github.com/heathervane/heathervane/library/checker"
	"github.com/heathervane/heathervane/library/decoder"
	"github.com/heathervane/heathervane/library/finder"
)

// MaxBytes is the longest settings file in bytes.
const MaxBytes = 64 << 10

// Settings are what one process is started with.
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

// Callers is the side that callers connect to.
type Callers struct {
	// Address is the IP number and port to listen on; port 0 takes any.
	Address string `toml:"address"`
	// Certificate and Key are PEM files. Without both, callers are served
	// without TLS.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

// Peers is the side that the other VMs connect to.
type Peers struct {
	// Address is the IP number and port to listen on; port 0 takes any.
	Address string `toml:"address"`
	// Secret is what VMs prove to one another that they hold.
	Secret string `toml:"secret"`
	// Certificate and Key are PEM files, as in Callers.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Authority is a PEM file of certificates. With it each VM must show a
	// certificate that the authority has signed.
	Authority string `toml:"authority"`
}

// Watch is the side for health checks and scrapers.
type Watch struct {
	// Address is the IP number and port to listen on; port 0 takes any.
	Address string `toml:"address"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log  string `toml:"log"`
	List string `toml:"list"`
	// Weights may be empty where engines load their own weights.
	Weights string `toml:"weights"`
}

// Limits bound what callers may take of the VM.
type Limits struct {
	// Bodies bounds the request bodies held in memory over all requests.
	Bodies Size `toml:"bodies"`
	// Body bounds one request's body.
	Body Size `toml:"body"`
	// Header bounds one request's header.
	Header Size `toml:"header"`
	// Streams bounds the requests in progress.
	Streams int `toml:"streams"`
	// Drain bounds how long a planned stop waits for requests in progress. It
	// should be above the longest time limit in the manifest.
	Drain checker.Duration `toml:"drain"`
}

// Router names a way to choose the upstream of a request.
type Router string

// The routers. All but RouterBest are baselines for measurements.
const (
	RouterBest   Router = "best"
	RouterRandom Router = "random"
	RouterLeast  Router = "least"
	RouterTwo    Router = "two"
)

// Queue names an order of waiting requests.
type Queue string

// The queues. QueueFirst, first come first served, is a baseline for
// measurements.
const (
	QueueFair  Queue = "fair"
	QueueFirst Queue = "first"
)

// Engines names a way to share out engines.
type Engines string

// The ways to share out engines. The engines of a model are open to every
// prompt, which suits engines that honour priorities; or some are set apart for
// long prompts; or, besides, each is the home of one VM.
const (
	EnginesShared Engines = "shared"
	EnginesSplit  Engines = "split"
	EnginesHomes  Engines = "homes"
)

// Policy chooses between ways to decide under load.
type Policy struct {
	Router Router `toml:"router"`
	Queue  Queue  `toml:"queue"`
	// Engines says how engines are shared out.
	Engines Engines `toml:"engines"`
}

// Defaults of Limits. They suit a VM with 512 MiB of memory: a million-token
// prompt is about 4 MiB, and the bodies take at most an eighth. The drain limit
// is twice the longest that a request may last by a manifest's own defaults,
// because a limit below it would cut requests at a planned stop.
const (
	defaultBodies  = 64 << 20
	defaultBody    = 16 << 20
	defaultHeader  = 16 << 10
	defaultStreams = 10_000
	defaultDrain   = 2 * time.Hour
)

func preset() Settings {
	return Settings{
		Limits: Limits{
			Bodies: defaultBodies, Body: defaultBody, Header: defaultHeader,
			Streams: defaultStreams, Drain: checker.Duration(defaultDrain),
		},
		Policy: Policy{Router: RouterBest, Queue: QueueFair, Engines: EnginesShared},
	}
}

// Read reads the settings file at path. Paths in it are relative to its own
// folder. The error is a *finder.Error with all findings where the file could
// be read, also those about files that it names.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	s, found := Parse(data)
	s.resolve(filepath.Dir(path))
	found = append(found, s.files()...)
	return s, found.Err()
}

// Parse reads settings and returns all that is wrong with them. It opens no
// file that they name.
func Parse(data []byte) (Settings, finder.Findings) {
	s := preset()
	found := decoder.Decode(data, &s, MaxBytes)
	c := checks{found: found}
	c.settings(s)
	return s, c.found
}

// paths are the settings that name files, with their places.
func (s *Settings) paths() map[string]*string {
	return map[string]*string{
		"callers.certificate": &s.Callers.Certificate,
		"callers.key":         &s.Callers.Key,
		"peers.certificate":   &s.Peers.Certificate,
		"peers.key":           &s.Peers.Key,
		"peers.authority":     &s.Peers.Authority,
	}
}

func (s *Settings) resolve(folder string) {
	for _, p := range s.paths() {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(folder, *p)
		}
	}
}
