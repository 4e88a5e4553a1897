package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// A vm is a process of the system, started as the deploy file says.
type vm struct {
	name, front, ready string
	command            *exec.Cmd
	ended              chan struct{}
	endedAt            time.Time
}

const settings = `NodeName = "%[1]s"
Role = "entry"
MachineClass = "front"
Serves = ["front"]
BindIp = "127.0.0.1"
Zone = "%[7]s"
Region = "seoul"
PortRange = [%[2]d,%[3]d]
SeedAddrs = []
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","spans"]
[Zones]
seoul-a = "seoul"
seoul-b = "seoul"
seoul-c = "seoul"
[Listen]
Front = "%[4]s"
Ready = "%[5]s"
[Limits]
CpuShare = 0.4
CpuCores = 1
MemoryMb = 284
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
RetryBudgetSlack = 106
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
Address = "%[6]s"
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
`

// freePorts returns n consecutive free ports below the range of outgoing connections.
func freePorts(n int) int {
	for first := 12000 + os.Getpid()%15000; first < 32000; first += n {
		free := true
		for i := range n {
			l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(first+i))
			if err != nil {
				free = false
				break
			}
			l.Close()
			u, err := net.ListenPacket("udp", "127.0.0.1:"+strconv.Itoa(first+i))
			if err != nil {
				free = false
				break
			}
			u.Close()
		}
		if free {
			return first
		}
	}
	unusable("no free ports")
	return 0
}

// startFleet starts VMs in zones seoul-a, seoul-b and seoul-c in turn, and waits until all
// are ready.
func startFleet(s *store, n int) {
	const portsPerVM = 6
	first := freePorts(n * portsPerVM)
	for i := range n {
		zone := "seoul-" + string(rune('a'+i%3))
		at := first + i*portsPerVM
		port := func(k int) string { return "127.0.0.1:" + strconv.Itoa(at+k) }
		v := &vm{name: "front-" + zone + "-" + strconv.Itoa(1+i/3), front: port(0), ready: port(1), ended: make(chan struct{})}
		path := filepath.Join(folder, v.name+".toml")
		text := fmt.Sprintf(settings, v.name, at+2, at+portsPerVM-1, v.front, v.ready, s.address(), zone)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			unusable("settings: %v", err)
		}
		out, err := os.Create(filepath.Join(folder, v.name+".log"))
		if err != nil {
			unusable("log: %v", err)
		}
		v.command = exec.Command("target/heathervane")
		v.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "HEATHERVANE_NODE_FILE=" + path}
		v.command.Stdout, v.command.Stderr = out, out
		v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := v.command.Start(); err != nil {
			unusable("start of %s: %v", v.name, err)
		}
		go func() {
			v.command.Wait()
			v.endedAt = time.Now()
			close(v.ended)
		}()
		fleetMu.Lock()
		fleet = append(fleet, v)
		fleetMu.Unlock()
	}
	for _, v := range fleet {
		v.awaitReady()
	}
	note("%d VMs are ready", n)
}

func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + v.ready + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (v *vm) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if v.isReady() {
			return
		}
	}
	unusable("%s doesn't become ready", v.name)
}

func (v *vm) signal(s syscall.Signal) {
	note("%s gets %s", v.name, s)
	v.command.Process.Signal(s)
}

// stopFleet ends all VMs that still run.
func stopFleet() {
	fleetMu.Lock()
	defer fleetMu.Unlock()
	for _, v := range fleet {
		select {
		case <-v.ended:
		default:
			v.command.Process.Kill()
			<-v.ended
		}
	}
}
