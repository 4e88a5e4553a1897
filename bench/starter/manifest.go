package starter

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/zeebo/errs"

	"github.com/heathervane/heathervane/library/checker"
)

// In the bench's fleets a call's key is known for window, and the log keeps
// records for keep.
const (
	window = 10 * time.Minute
	keep   = time.Hour
)

// version is the model's version, which engines have loaded at the start.
const version = "1"

// fencing says whether an engine refuses orders with an old fence: every other
// one does.
func fencing(i int) bool { return i%2 == 0 }

// Manifest describes the fleet as it runs.
func (f *Fleet) Manifest() checker.Manifest {
	s := f.Size
	m := checker.Manifest{
		Seats:  max(9, s.VMs),
		Window: checker.Duration(window),
		Keep:   checker.Duration(keep),
		Zones:  s.Zones,
		Classes: map[string]checker.Class{
			"short": class(4_000, 20*time.Second),
			"long":  class(100_000, time.Minute),
			"whole": class(s.Context, 2*time.Minute),
		},
		Models: map[string]checker.Model{
			s.Model: {Context: s.Context, Output: s.Output, Bytes: s.Bytes, Version: version},
		},
		Services: map[string]checker.Service{
			s.Service: {Keys: checker.KeysDated, Limit: seconds(10), Least: checker.Duration(100 * time.Millisecond), Most: seconds(60)},
		},
		Upstreams: make(map[string]checker.Upstream),
		Teams:     make(map[string]checker.Team),
	}
	for i, p := range f.Engines {
		zone := s.Zones[i%len(s.Zones)]
		f.place(p.Name, zone)
		m.Upstreams[p.Name] = checker.Upstream{
			Model: s.Model, Address: p.Line.Address, Zone: zone, Slots: s.Slots, Cold: s.Cold,
			Memory: s.Memory, Prefill: s.Prefill, Decode: s.Decode, Fencing: fencing(i),
		}
	}
	for i, p := range f.Services {
		zone := s.Zones[i%len(s.Zones)]
		f.place(p.Name, zone)
		m.Upstreams[p.Name] = checker.Upstream{
			Service: s.Service, Address: p.Line.Address, Zone: zone, Slots: s.ServiceSlots, Cold: s.ServiceCold,
		}
	}
	for team, share := range s.Teams {
		sum := sha256.Sum256([]byte(f.Tokens[team]))
		m.Teams[team] = checker.Team{Share: share, Tokens: []string{"sha256:" + hex.EncodeToString(sum[:])}}
	}
	return m
}

func class(prompt int, limit time.Duration) checker.Class {
	return checker.Class{
		Prompt: prompt, Limit: checker.Duration(limit),
		Least: checker.Duration(100 * time.Millisecond), Most: checker.Duration(3 * limit),
	}
}

func seconds(n int) checker.Duration { return checker.Duration(time.Duration(n) * time.Second) }

// publishFirst writes the manifest's file and publishes it.
func (f *Fleet) publishFirst(ctx context.Context) error {
	path, err := f.WriteManifest("manifest.toml", f.Manifest())
	if err != nil {
		return err
	}
	out, code, err := f.Operate(ctx, "publish", path)
	if err != nil {
		return err
	}
	if code != 0 {
		return errs.New("publish the manifest: exit code %d\n%s", code, out)
	}
	return nil
}

// WriteManifest writes a manifest into the fleet's folder and returns its path.
func (f *Fleet) WriteManifest(name string, m checker.Manifest) (string, error) {
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(m); err != nil {
		return "", errs.Wrap(err)
	}
	path := filepath.Join(f.Folder, name)
	return path, errs.Wrap(os.WriteFile(path, text.Bytes(), 0o600))
}

// Operate runs vanectl against the fleet's log, as an operator would, and
// returns what it printed and its exit code.
func (f *Fleet) Operate(ctx context.Context, args ...string) (out string, code int, err error) {
	args = append(args, "--log", "http://"+f.Log.Line.Address)
	command := exec.CommandContext(ctx, f.programs.Operator, args...)
	text, err := command.CombinedOutput()
	if command.ProcessState == nil {
		return "", -1, errs.Wrap(err)
	}
	return string(text), command.ProcessState.ExitCode(), nil
}
