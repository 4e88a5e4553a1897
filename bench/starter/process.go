package starter

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// patience bounds the wait for a program's first line and for its end; both
// take milliseconds unless the machine is overloaded.
const patience = 20 * time.Second

// A Line is what a program prints on its standard output when it listens.
type Line struct {
	Role    string `json:"role,omitempty"`
	Address string `json:"address,omitempty"`
	ID      string `json:"id,omitempty"`
	Callers string `json:"callers,omitempty"`
	Peers   string `json:"peers,omitempty"`
	Watch   string `json:"watch,omitempty"`
	PID     int    `json:"pid"`
}

// A Process is one running program of the fleet. Signals go to its process id
// only, never to a name or a group that might hold somebody else's.
type Process struct {
	// Name is unique in the fleet and names the process's log file.
	Name string
	// Line is what it printed when it listened.
	Line Line

	program string
	args    []string
	command *exec.Cmd
	ended   chan struct{}
}

// start runs the program and waits for its first line. It must be called from
// the fleet's own thread: the kernel ties the death signal, which keeps a
// killed bench from leaving processes behind, to the thread that forked.
func (p *Process) start(folder string) error {
	record, err := os.OpenFile(filepath.Join(folder, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errs.Wrap(err)
	}
	p.command = exec.Command(p.program, p.args...) //nolint:noctx // The fleet ends it by signal, in order.
	p.command.Stderr = record
	p.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := p.command.StdoutPipe()
	if err != nil {
		return errs.Combine(errs.Wrap(err), record.Close())
	}
	if err := p.command.Start(); err != nil {
		return errs.Combine(errs.New("start %s: %v", p.Name, err), record.Close())
	}
	p.ended = make(chan struct{})
	first := make(chan []byte, 1)
	go p.watch(out, record, first, p.ended)
	return p.await(first)
}

func (p *Process) watch(out io.Reader, record *os.File, first chan<- []byte, ended chan<- struct{}) {
	reader := bufio.NewReader(out)
	line, _ := reader.ReadBytes('\n')
	first <- line
	_, _ = io.Copy(record, reader)
	_ = p.command.Wait()
	record.Close()
	close(ended)
}

func (p *Process) await(first <-chan []byte) error {
	select {
	case line := <-first:
		if err := json.Unmarshal(line, &p.Line); err != nil {
			_ = p.Kill()
			return errs.New("%s printed no line of JSON when it started; its log says why: %q", p.Name, line)
		}
		return nil
	case <-time.After(patience):
		_ = p.Kill()
		return errs.New("%s did not listen within %v", p.Name, patience)
	}
}

// PID is the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Alive says whether the process still runs; a frozen one does.
func (p *Process) Alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Signal sends a signal to this process alone.
func (p *Process) Signal(s syscall.Signal) error {
	if !p.Alive() {
		return errs.New("%s has ended", p.Name)
	}
	return errs.Wrap(p.command.Process.Signal(s))
}

// Kill ends the process at once, as a VM that loses power, and waits until it
// has gone.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.ended
	return nil
}

// Freeze stops the process without its notice, as a paused VM.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Wake lets a frozen process run on.
func (p *Process) Wake() error { return p.Signal(syscall.SIGCONT) }

// Stop asks the process to end in its own time.
func (p *Process) Stop() error { return p.Signal(syscall.SIGTERM) }

// Wait returns when the process has ended, or with the context's error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.ended:
		return nil
	case <-ctx.Done():
		return errs.New("%s still runs: %v", p.Name, ctx.Err())
	}
}

// Code is the exit code of an ended process; -1 where a signal ended it.
func (p *Process) Code() int { return p.command.ProcessState.ExitCode() }
