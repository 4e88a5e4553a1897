package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/heathervane/heathervane/entry/request/admitter"
)

// BenchmarkAdmitter lets one ask in and places one, with asks of all teams
// waiting.
func BenchmarkAdmitter(b *testing.B) {
	for _, teams := range []int{10, 100, 2700} {
		for _, waiting := range []int{3000, 30_000} {
			b.Run(fmt.Sprintf("teams=%d/waiting=%d", teams, waiting), func(b *testing.B) {
				adm := admitter.New(admitter.Config{Requests: 1 << 30, Tokens: 1 << 40})
				names := make([]string, teams)
				for i := range names {
					names[i] = fmt.Sprint("team", i)
				}
				id := uint64(0)
				offer := func() {
					id++
					a := admitter.Request{ID: id, Team: names[id%uint64(teams)], Share: 1, PromptTokens: int(1000 + id*7919%7000), MaxOutput: 100, Arrived: epoch}
					a.Deadline = epoch.Add(10_000*time.Hour + time.Duration(id)*time.Millisecond)
					if r := adm.Offer(epoch, a, pace); r != nil {
						b.Fatal(r)
					}
				}
				for range waiting {
					offer()
				}
				b.ReportAllocs()
				for b.Loop() {
					offer()
					adm.Next(epoch, anywhere)
				}
			})
		}
	}
}

// BenchmarkRefusal turns asks away while all teams have some waiting.
func BenchmarkRefusal(b *testing.B) {
	for _, teams := range []int{10, 2700} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			adm := admitter.New(admitter.Config{Tokens: 1 << 40})
			for id := range uint64(4000) {
				_ = adm.Offer(epoch, ask(id+1, fmt.Sprint("team", id%uint64(teams)), 2000, 360_000), pace)
			}
			a := ask(1<<40, "team1", 2000, 30)
			b.ReportAllocs()
			for b.Loop() {
				if adm.Offer(epoch, a, pace) == nil {
					b.Fatal("let in")
				}
			}
		})
	}
}
