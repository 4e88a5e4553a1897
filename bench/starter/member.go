package starter

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// settings are what a VM's file holds, in the program's own key names.
type settings struct {
	ID       string   `toml:"id"`
	Zone     string   `toml:"zone"`
	Callers  callers  `toml:"callers"`
	Peers    peers    `toml:"peers"`
	Watch    callers  `toml:"watch"`
	Platform platform `toml:"platform"`
	Policy   *policy  `toml:"policy,omitempty"`
}

type callers struct {
	Address string `toml:"address"`
}

type peers struct {
	Address string `toml:"address"`
	Secret  string `toml:"secret"`
}

type platform struct {
	Log     string `toml:"log"`
	List    string `toml:"list"`
	Weights string `toml:"weights"`
}

type policy struct {
	Router string `toml:"router,omitempty"`
	Queue  string `toml:"queue,omitempty"`
}

// anywhere lets the system choose a free port; the VM reports which.
const anywhere = "127.0.0.1:0"

func (f *Fleet) startVMs(ctx context.Context) error {
	for range f.Size.VMs {
		if _, err := f.AddVM(ctx); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range f.VMs {
		group.Go(func() error { return f.Ready(ctx, p) })
	}
	return group.Wait()
}

// AddVM starts one more VM and enters it in the list; Ready waits for it.
func (f *Fleet) AddVM(ctx context.Context) (*Process, error) {
	n := len(f.VMs)
	id := fmt.Sprintf("vm%d", n+1)
	zone := f.Size.Zones[n%len(f.Size.Zones)]
	f.place(id, zone)
	path, err := f.writeSettings(id, zone)
	if err != nil {
		return nil, err
	}
	p, err := f.run(id, f.programs.Entry, []string{"--settings", path})
	if err != nil {
		return nil, err
	}
	f.VMs = append(f.VMs, p)
	return p, f.Register(ctx, p, "live")
}

func (f *Fleet) writeSettings(id, zone string) (string, error) {
	s := settings{
		ID: id, Zone: zone,
		Callers: callers{Address: anywhere},
		Peers:   peers{Address: anywhere, Secret: f.secret},
		Watch:   callers{Address: anywhere},
		Platform: platform{
			Log:     "http://" + f.Log.Line.Address,
			List:    "http://" + f.List.Line.Address,
			Weights: "http://" + f.Weights.Line.Address,
		},
	}
	if f.Policy != (Policy{}) {
		s.Policy = &policy{Router: f.Policy.Router, Queue: f.Policy.Queue}
	}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(s); err != nil {
		return "", errs.Wrap(err)
	}
	path := filepath.Join(f.Folder, id+".toml")
	return path, errs.Wrap(os.WriteFile(path, text.Bytes(), 0o600))
}

// Restart runs an ended process again with the same arguments, as the platform
// replaces a VM: a new boot under the old name. A VM's new addresses are
// entered in the list.
func (f *Fleet) Restart(ctx context.Context, p *Process) error {
	if p.Alive() {
		return errs.New("%s still runs", p.Name)
	}
	if err := f.launch(p); err != nil {
		return err
	}
	if p.Line.Peers == "" {
		return nil
	}
	return f.Register(ctx, p, "live")
}

// entryInList is a VM as the list's test calls take it.
type entryInList struct {
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// Register enters a VM in the platform's list as "live" or "leaving".
func (f *Fleet) Register(ctx context.Context, p *Process, state string) error {
	body := entryInList{Zone: f.Zone(p), Address: p.Line.Peers, State: state}
	return exchange(ctx, http.MethodPut, f.List, "/vms/"+p.Name, body, nil)
}

// Deregister takes a VM off the list, as the platform does after it stopped it.
func (f *Fleet) Deregister(ctx context.Context, p *Process) error {
	return exchange(ctx, http.MethodDelete, f.List, "/vms/"+p.Name, nil, nil)
}

// Ready waits until a VM says that it is ready, and gives its reason where it
// does not in time.
func (f *Fleet) Ready(ctx context.Context, p *Process) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	reason := ""
	err := Poll(ctx, func() (bool, error) {
		ready, text, err := probe(ctx, p)
		reason = text
		return ready, err
	})
	if err != nil {
		return errs.New("%s is not ready: %s (%v)\n%s", p.Name, reason, err, tail(filepath.Join(f.Folder, p.Name+".log")))
	}
	return nil
}

// Poll asks until the answer is yes, an error, or the end of the context.
func Poll(ctx context.Context, ask func() (bool, error)) error {
	const pause = 20 * time.Millisecond
	ticks := time.NewTicker(pause)
	defer ticks.Stop()
	for {
		yes, err := ask()
		if yes || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return errs.Wrap(ctx.Err())
		case <-ticks.C:
		}
	}
}
