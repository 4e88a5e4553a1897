package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// program is what the deploy file builds and runs, from the repository's root.
const program = "target/heathervane"

// memoryMB is MemoryMb of a VM.
const memoryMB = 284

// A vm is a process of the VM's program.
type vm struct {
	name, front, ready, settings string
	mu                           sync.Mutex
	command                      *exec.Cmd
	done                         chan struct{}
}

var (
	vmsMu     sync.Mutex
	vms       []*vm
	folder    string
	usedPorts = make(map[int]bool)
)

// freePorts returns the first of n consecutive ports that are free, below those that the
// system gives to outgoing connections.
func freePorts(n int) int {
	for first := 12_000 + os.Getpid()*53%15_000; first < 32_000; first++ {
		free := true
		for port := first; port < first+n && free; port++ {
			l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
			if free = err == nil && !usedPorts[port]; err == nil {
				l.Close()
			}
		}
		if free {
			for port := first; port < first+n; port++ {
				usedPorts[port] = true
			}
			return first
		}
	}
	cannotRun("no free ports")
	return 0
}

// newVM writes the settings of a VM, as the platform does, and starts it.
func newVM(name, zone string, s *store) *vm {
	makeFolder()
	first := freePorts(4)
	at := func(i int) string { return "127.0.0.1:" + strconv.Itoa(first+i) }
	v := &vm{name: name, ready: at(0), front: at(1), settings: filepath.Join(folder, name+".toml")}
	file := fmt.Sprintf(`NodeName = %q
Role = "entry"
MachineClass = "front"
Serves = ["front"]
BindIp = "127.0.0.1"
Zone = %q
Region = "bayern"
PortRange = [%d,%d]
SeedAddrs = []
Bootstrap = true
InTolerance = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","spans"]
[Zones]
bayern-a = "bayern"
bayern-b = "bayern"
bayern-c = "bayern"
[Listen]
Front = %q
Ready = %q
[Limits]
CpuShare = 0.4
CpuCores = 1
MemoryMb = %d
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 3000
AckMs = 4000
CatchupS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
StretchMaxMs = 5000
FailClosed = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 102
ColdMultiplier = 1.5
ColdSlack = 5
EvacuateMs = 5000
RecoveryS = 12
PassMs = 120
RetryAfterS = 0
stall_ms = 1500
MaxHoldMs = 20000
FreeMs = 4000
IdleMaxMs = 9000
[Platform]
Address = %q
form = "log"
WritesPerS = 400
ReadsPerS = 2000
parts = 12
AppendMs = 2.0
PartmbPerS = 20.0
ReadmbPerS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
PartMb = 200
TtlMinMs = 1000
`, name, zone, first+2, first+3, v.front, v.ready, memoryMB, s.address)
	if err := os.WriteFile(v.settings, []byte(file), 0o600); err != nil {
		cannotRun("%v", err)
	}
	vmsMu.Lock()
	vms = append(vms, v)
	vmsMu.Unlock()
	if err := v.start(); err != nil {
		cannotRun("starting %s: %v", program, err)
	}
	note("%s starts", v.name)
	return v
}

// makeFolder makes the temporary folder of settings and logs.
func makeFolder() {
	path, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		cannotRun("%v", err)
	}
	vmsMu.Lock()
	defer vmsMu.Unlock()
	if folder != "" {
		os.Remove(path)
		return
	}
	folder = path
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(program)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "HEATHERVANE_NODE_FILE=" + v.settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.command, v.done = c, done
	go func() {
		c.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.command.Process.Signal(s)
}

// isReady asks as the platform does.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.ready + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (v *vm) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if v.isReady() {
			return
		}
	}
	cannotRun("%s is not ready", v.name)
}

// endVMs kills all processes that were started.
func endVMs() {
	vmsMu.Lock()
	defer vmsMu.Unlock()
	for _, v := range vms {
		v.mu.Lock()
		c, done := v.command, v.done
		v.mu.Unlock()
		if c != nil {
			c.Process.Kill()
			<-done
		}
	}
	if folder != "" && os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(folder)
	} else if folder != "" {
		fmt.Println("logs:", folder)
	}
}
