package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/heathervane/heathervane/entry/request/admitter"
)

// BenchmarkAdmitter admits and places one request per iteration while requests
// of all teams wait.
func BenchmarkAdmitter(b *testing.B) {
	for _, teams := range []int{10, 100, 2700} {
		for _, waiting := range []int{3000, 30_000} {
			b.Run(fmt.Sprintf("teams=%d/waiting=%d", teams, waiting), func(b *testing.B) {
				adm := admitter.New(admitter.Config{MaxRequests: 1 << 30, MaxTokens: 1 << 40})
				names := make([]string, teams)
				for i := range names {
					names[i] = fmt.Sprint("team", i)
				}
				id := uint64(0)
				offer := func() {
					id++
					a := admitter.Request{ID: id, Team: names[id%uint64(teams)], Share: 1, PromptTokens: int(1000 + id*7919%7000), MaxOutput: 100, Arrived: epoch}
					a.Deadline = epoch.Add(10_000*time.Hour + time.Duration(id)*time.Millisecond)
					if r := adm.Offer(epoch, a, capacity); r != nil {
						b.Fatal(r)
					}
				}
				for range waiting {
					offer()
				}
				b.ReportAllocs()
				for b.Loop() {
					offer()
					adm.Next(epoch, placeAlways)
				}
			})
		}
	}
}

// BenchmarkRefusal rejects requests while requests of all teams wait.
func BenchmarkRefusal(b *testing.B) {
	for _, teams := range []int{10, 2700} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			adm := admitter.New(admitter.Config{MaxTokens: 1 << 40})
			for id := range uint64(4000) {
				_ = adm.Offer(epoch, newRequest(id+1, fmt.Sprint("team", id%uint64(teams)), 2000, 360_000), capacity)
			}
			a := newRequest(1<<40, "team1", 2000, 30)
			b.ReportAllocs()
			for b.Loop() {
				if adm.Offer(epoch, a, capacity) == nil {
					b.Fatal("admitted")
				}
			}
		})
	}
}
