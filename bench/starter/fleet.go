// Package starter starts a whole fleet as separate processes on loopback: the
// stand-ins of the platform and of the upstreams, and the entry VMs. It is for
// the demonstration, the experiments and the tests of failures; it starts no
// fleet for real callers. It ends exactly the processes that it started, by
// process id.
package starter

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// A Fleet is a set of running processes and what one needs to reach them.
type Fleet struct {
	Size Size
	// Folder holds the settings, the manifest and each process's log.
	Folder string
	// Log, List and Weights are the platform's stand-ins.
	Log, List, Weights *Process
	// Engines and Services are the upstreams, VMs the entry VMs.
	Engines, Services, VMs []*Process
	// Tokens are the teams' bearer tokens by team name.
	Tokens map[string]string
	// Policy is written into each VM's settings.
	Policy Policy

	programs Programs
	secret   string
	jobs     chan func()

	mu    sync.Mutex
	all   []*Process
	zones map[string]string
	done  bool
}

// A Policy names the ways in which VMs choose among upstreams and order what
// waits; empty names leave the program's own.
type Policy struct {
	Router string
	Queue  string
}

// New returns a Fleet that will run the programs with its files in folder.
// Start brings it up, and Close must be called even where Start failed.
func New(programs Programs, size Size, policy Policy, folder string) *Fleet {
	f := &Fleet{
		Size: size, Folder: folder, Policy: policy, Tokens: make(map[string]string),
		programs: programs, secret: word(), jobs: make(chan func()), zones: make(map[string]string),
	}
	for team := range size.Teams {
		f.Tokens[team] = "hv-" + team + "-" + word()
	}
	go f.fork()
	return f
}

// fork runs all starts on one thread that lives as long as the fleet. A death
// signal is sent when the forking thread ends, so a thread that the runtime
// retired would take healthy processes with it.
func (f *Fleet) fork() {
	runtime.LockOSThread()
	for job := range f.jobs {
		job()
	}
}

func word() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Start brings the fleet up: the platform first, then the upstreams, the
// manifest and the VMs; it returns when every VM is ready.
func (f *Fleet) Start(ctx context.Context) error {
	steps := []func(context.Context) error{
		f.startPlatform, f.startUpstreams, f.publishFirst, f.startVMs,
	}
	for _, step := range steps {
		if err := ctx.Err(); err != nil {
			return errs.Wrap(err)
		}
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startPlatform(context.Context) error {
	var err error
	if f.Log, err = f.standin("log", "log"); err != nil {
		return err
	}
	if f.List, err = f.standin("list", "list", "--lag", milliseconds(f.Size.Lag)); err != nil {
		return err
	}
	f.Weights, err = f.standin("weights", "weights")
	return err
}

func (f *Fleet) startUpstreams(context.Context) error {
	s := f.Size
	for i := range s.Engines {
		flags := []string{
			"--bytes", strconv.Itoa(s.Bytes), "--slots", strconv.Itoa(s.Slots), "--cold", strconv.Itoa(s.Cold),
			"--memory", strconv.Itoa(s.Memory), "--prefill", strconv.Itoa(s.Prefill), "--decode", strconv.Itoa(s.Decode),
			"--warm", strconv.Itoa(s.Warm), "--lag", milliseconds(s.Lag),
			"--model", s.Model, "--version", version,
		}
		if s.Load > 0 {
			flags = append(flags, "--load-ms", milliseconds(s.Load))
		}
		if fencing(i) {
			flags = append(flags, "--fencing")
		}
		p, err := f.standin(fmt.Sprintf("engine%d", i+1), "engine", flags...)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, p)
	}
	for i := range s.Services {
		p, err := f.standin(fmt.Sprintf("service%d", i+1), "service",
			"--slots", strconv.Itoa(s.ServiceSlots), "--cold", strconv.Itoa(s.ServiceCold),
			"--work", milliseconds(s.Work), "--warm", strconv.Itoa(s.Warm), "--lag", milliseconds(s.Lag))
		if err != nil {
			return err
		}
		f.Services = append(f.Services, p)
	}
	return nil
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

func (f *Fleet) standin(name, role string, flags ...string) (*Process, error) {
	args := append([]string{role, "--listen", "127.0.0.1:0"}, flags...)
	return f.run(name, f.programs.Standin, args)
}

func (f *Fleet) run(name, program string, args []string) (*Process, error) {
	p := &Process{Name: name, program: program, args: args}
	return p, f.launch(p)
}

func (f *Fleet) launch(p *Process) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.done {
		return errs.New("the fleet is closed")
	}
	result := make(chan error)
	f.jobs <- func() { result <- p.start(f.Folder) }
	if err := <-result; err != nil {
		return errs.New("%v\n%s", err, tail(filepath.Join(f.Folder, p.Name+".log")))
	}
	if !slices.Contains(f.all, p) {
		f.all = append(f.all, p)
	}
	return nil
}

// tail is the end of a log file, for an error message.
func tail(path string) string {
	const most = 2000
	data, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	return string(data[max(0, len(data)-most):])
}

// Zone is the availability zone of a VM or an upstream.
func (f *Fleet) Zone(p *Process) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zones[p.Name]
}

func (f *Fleet) place(name, zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zones[name] = zone
}

// Close ends every process of the fleet and waits until all have gone. VMs
// are asked first, so that they may finish; stand-ins keep nothing and are
// killed.
func (f *Fleet) Close() error {
	f.mu.Lock()
	if f.done {
		f.mu.Unlock()
		return nil
	}
	f.done = true
	all := slices.Clone(f.all)
	f.mu.Unlock()
	defer close(f.jobs)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for _, p := range f.VMs {
		if p.Alive() {
			_ = p.Wake()
			_ = p.Stop()
		}
	}
	var late error
	for _, p := range f.VMs {
		if err := p.Wait(ctx); err != nil {
			late = errs.Combine(late, err)
		}
	}
	for _, p := range all {
		if p.Alive() {
			_ = p.Signal(syscall.SIGKILL)
			<-p.ended
		}
	}
	return late
}

// Upstreams are the engines and the processes of the plain service.
func (f *Fleet) Upstreams() []*Process { return slices.Concat(f.Engines, f.Services) }

// Find returns the process with a name.
func (f *Fleet) Find(name string) (*Process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.all {
		if p.Name == name {
			return p, nil
		}
	}
	return nil, errs.New("the fleet has no process %q", name)
}

// Count is how many processes the fleet has started.
func (f *Fleet) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.all)
}
