// Command tool plays the clients, the servers and the platform of a case of the review,
// starts the VMs as separate processes, and checks one rule. It exits with 1 if the rule was
// broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

var (
	folder    string
	startedAt = time.Now()
	recordMu  sync.Mutex
	recordOut *os.File
	fleetMu   sync.Mutex
	fleet     []*vm
)

// note writes a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordOut, "%6d ms  %s\n", time.Since(startedAt).Milliseconds(), fmt.Sprintf(format, args...))
}

// unusable ends a case that couldn't run.
func unusable(format string, args ...any) {
	note("the case couldn't run: "+format, args...)
	finish(2)
}

func finish(code int) {
	stopFleet()
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(folder)
	}
	os.Exit(code)
}

var cases = map[string]func(trouble bool) (broken bool){}

// The VMs end with the thread that starts them, also if this process is killed.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: tool CASE RECORD")
		os.Exit(2)
	}
	var err error
	if recordOut, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if folder, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		unusable("no case %s", os.Args[1])
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		finish(2)
	}()
	time.AfterFunc(110*time.Second, func() { unusable("it took too long") })
	trouble := os.Getenv("TROUBLE") != "0"
	note("case %s, trouble: %t, logs in %s", os.Args[1], trouble, filepath.Base(folder))
	if run(trouble) {
		note("RULE BROKEN")
		finish(1)
	}
	note("the rule held")
	finish(0)
}

// A route of the configuration.
type route struct {
	Name, Host, PathPrefix, RouteKind, Service string
	TimeoutMs, SloMs, GapTargetMs              float64
	Priority, MaxAttempts                      int
	Resumable, Sticky                          bool
}

const (
	engines  = "huvo11a"
	bookings = "wuno96b"
)

// configure writes a version of the configuration like that of the small deployments.
func configure(s *store, version int64, idle time.Duration) {
	host := "ficu95.example"
	data, err := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []route{
			{"r-ask", host, "/lohu930/", "streaming", engines, 10000, 300, 250, 1, 2, true, true},
			{"r-brief", host, "/pufi791/", "streaming", engines, 10000, 1500, 600, 1, 2, true, true},
			{"r-book", host, "/puxa403/", "unsafe", bookings, 2000, 300, 0, 2, 1, false, false},
			{"r-look", host, "/cufi504/", "safe", bookings, 2000, 300, 0, 2, 2, false, false},
		},
		"Services": []any{
			map[string]any{
				"Name": engines, "HealthPath": "/health", "MaxConns": 434, "ColdStartS": 3.0, "ColdPerS": 36.0,
				"Engine": map[string]any{
					"Slots": 16, "KvCapacityTokens": 232000, "Stride": 43, "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431,
					"read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048, "report_lag_ms": 200.0,
					"usual": map[string]any{"prompt": 12316, "answer": 1303}, "HopMs": 0.075,
				},
			},
			map[string]any{"Name": bookings, "HealthPath": "/health", "MaxConns": 110, "ColdStartS": 0.0, "ColdPerS": 0.0},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": idle.Milliseconds()},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []string{apiKey}, "Priority": 1}},
	})
	if err != nil {
		unusable("configuration: %v", err)
	}
	s.put("keyed.op", "config", data)
	note("operator writes version %d, IdleTimeoutMs %d", version, idle.Milliseconds())
}
