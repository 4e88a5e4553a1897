package driver_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/caller"
	"github.com/heathervane/heathervane/bench/driver"
	"github.com/heathervane/heathervane/bench/planner"
	"github.com/heathervane/heathervane/bench/starter"
	"github.com/heathervane/heathervane/bench/verifier"
)

// fleet is one VM played by a handler.
func fleet(t *testing.T, h http.Handler) *starter.Fleet {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return &starter.Fleet{
		Size:   starter.Size{Model: "assistant", Bytes: 1},
		Tokens: map[string]string{"reps": "token"},
		VMs:    []*starter.Process{{Name: "vm1", Line: starter.Line{Callers: address, Watch: address}}},
	}
}

func arrivals(count int, every time.Duration) []planner.Arrival {
	var plan []planner.Arrival
	for i := range count {
		plan = append(plan, planner.Arrival{
			At: time.Duration(i) * every, Load: "short", Kind: planner.Question, Team: "reps",
			Title: "question", Prompt: 100, Output: 2, Limit: time.Minute,
		})
	}
	return plan
}

func answer(w http.ResponseWriter, text string) {
	fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", text)
	fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n")
}

// A VM stalls: it answers nothing until all requests have come. A generator
// that waits for answers would never send the second, and one that counts from
// its own late sending would show no stall.
func TestStallShowsInTimesFromWhenDue(t *testing.T) {
	const count, every = 20, 10 * time.Millisecond
	want := verifier.Answer(verifier.Prompt("question", 100), 2)
	var all sync.WaitGroup
	all.Add(count)
	f := fleet(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/readyz" {
			return
		}
		all.Done()
		all.Wait()
		answer(w, want)
	}))
	c := caller.New()
	defer c.Close()
	record, err := driver.New(f, c, func(string) {}).Drive(t.Context(), arrivals(count, every), nil)
	assert.NilError(t, err)
	assert.Equal(t, len(record.Samples), count)
	for _, s := range record.Samples {
		assert.Equal(t, s.Verdict, driver.Whole, s.Note)
		assert.Check(t, s.End >= (count-1)*every-s.At, "due at %v, ended after %v", s.At, s.End)
		assert.Check(t, s.First >= s.Lag)
	}
}

func TestVerdictsTellWhatCallersGot(t *testing.T) {
	right := verifier.Answer(verifier.Prompt("question", 100), 2)
	tests := []struct {
		name   string
		answer http.HandlerFunc
		want   driver.Verdict
	}{
		{"whole", func(w http.ResponseWriter, _ *http.Request) { answer(w, right) }, driver.Whole},
		{"another's", func(w http.ResponseWriter, _ *http.Request) { answer(w, strings.Replace(right, "t1", "t2", 1)) }, driver.Wrong},
		{"doubled", func(w http.ResponseWriter, _ *http.Request) { answer(w, right+right) }, driver.Wrong},
		{"too short", func(w http.ResponseWriter, _ *http.Request) { answer(w, right[:len(right)/2]) }, driver.Cut},
		{"no end", func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", right)
		}, driver.Cut},
		{"error event", func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "data: {\"error\":{\"code\":\"cut\",\"message\":\"cut\"}}\n\n")
		}, driver.Cut},
		{"refused", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusTooManyRequests)
			fmt.Fprint(w, `{"error":{"code":"busy","message":"busy"}}`)
		}, driver.Refused},
		{"hung up", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, driver.Lost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := caller.New()
			defer c.Close()
			record, err := driver.New(fleet(t, test.answer), c, func(string) {}).Drive(t.Context(), arrivals(1, 0), nil)
			assert.NilError(t, err)
			assert.Equal(t, record.Samples[0].Verdict, test.want, record.Samples[0].Note)
			if test.want == driver.Refused {
				assert.Equal(t, record.Samples[0].Retry, 2*time.Second)
				assert.Equal(t, record.Samples[0].Code, "busy")
			}
		})
	}
}
