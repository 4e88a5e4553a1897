package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/heathervane/heathervane/entry/process/switcher"
	"github.com/heathervane/heathervane/entry/version/matcher"
)

// A Kind is one kind of question.
type Kind struct {
	Name string
	// Prompt is the mean tokens of a prompt, Spread the deviation of their
	// logarithm, Most the largest.
	Prompt, Spread, Most float64
	// Answer is the mean tokens of an answer. Its bound is what callers state.
	Answer, Bound int
	// Rate is the requests a second outside bursts, Peak how many times as many
	// come in bursts.
	Rate, Peak float64
	// Objective is when the first event is due, Pause the longest pause that
	// callers bear, Limit when all is over.
	Objective, Pause, Limit time.Duration
	// Worth is an answer in time, Late a late one.
	Worth, Late float64
	// Priority is that of the kind's requests.
	Priority int
}

// A Deployment is a fleet and its load.
type Deployment struct {
	Name    string
	VMs     int
	Engines int
	Figures matcher.Engine
	Kinds   []Kind
	// Bursts say when which kinds come in larger numbers; Lost is how many
	// engines die at LostAt.
	Bursts []Burst
	Lost   int
	LostAt time.Duration
	// Faults are troubles of VMs.
	Faults []Fault
	// Policy selects features of the decisions.
	Policy switcher.Policy
	// Lasts is how long requests come.
	Lasts time.Duration
}

// A Burst is a time in which a kind comes at its peak.
type Burst struct {
	Kind       int
	From, Till time.Duration
}

const (
	second      = time.Second
	millisecond = time.Millisecond
)

// figures are an engine's, by what differs between deployments.
func figures(slots, memory, stride int, rate, pairs float64) matcher.Engine {
	return matcher.Engine{
		Slots: slots, KVCapacity: memory, StepsPerPass: stride, PrefillChunk: 2048, StepTime: 1,
		StepTimePerStream: 0.0035, StepTimePerContext: 0.0035, PrefillRate: rate, AttentionTime: pairs, HopTime: 0.1,
	}
}

// Known are deployments of the sizes that run today.
func Known() []Deployment {
	kinds := func(short, middle, long, prompt float64, bears [3]time.Duration) []Kind {
		return []Kind{
			{"question", 4960, 0.9, 23_800, 1500, 3750, short, 2.2, 300 * millisecond, bears[0], 10 * second, 1.3, 0.33, 0},
			{"brief", 45_000, 0.5, 110_000, 850, 2100, middle, 2.2, 1500 * millisecond, bears[1], 10 * second, 3.5, 0.9, 0},
			{"file", prompt, 0.55, 4.7 * prompt, 700, 1800, long, 2.2, 2800 * millisecond, bears[2], 15 * second, 17, 4.2, 0},
		}
	}
	all := []Deployment{
		{Name: "six-sixteen", VMs: 6, Engines: 16, Figures: figures(16, 450_000, 46, 256, 0.0917), Kinds: kinds(35, 2.5, 1.06, 210_000, [3]time.Duration{200 * millisecond, 500 * millisecond, 800 * millisecond})},
		{Name: "nine-twentythree", VMs: 9, Engines: 23, Figures: figures(16, 232_000, 43, 206, 0.138), Kinds: kinds(49, 2.7, 2.2, 133_000, [3]time.Duration{250 * millisecond, 600 * millisecond, time.Second})},
		{Name: "seven-sixteen", VMs: 7, Engines: 16, Figures: figures(16, 232_000, 43, 206, 0.138), Kinds: kinds(34, 1.9, 1.56, 133_000, [3]time.Duration{250 * millisecond, 600 * millisecond, time.Second})},
	}
	for i := range all {
		d := &all[i]
		d.Lasts = 12 * second
		for k := range d.Kinds {
			d.Bursts = append(d.Bursts, Burst{k, 3 * second, 9 * second})
		}
	}
	return all
}

// Zone is a zone's engines and load of a fleet of hundreds of VMs, before so many
// of them.
func Zone(vms int) Deployment {
	const zones = 5
	d := Deployment{
		Name: fmt.Sprintf("zone-%d", vms), VMs: vms, Engines: 39, Lasts: 12 * second,
		Figures: figures(10, 232_000, 68, 206, 0.138),
		Kinds: []Kind{
			{"question", 4960, 0.9, 23_800, 1500, 3750, 276.0 / zones, 2.2, 400 * millisecond, 250 * millisecond, 10 * second, 1.3, 0.33, 0},
			{"brief", 45_000, 0.5, 110_000, 900, 2300, 21.8 / zones, 2.2, 1500 * millisecond, 600 * millisecond, 10 * second, 2.9, 0.73, 0},
			{"file", 190_000, 0.55, 600_000, 750, 1900, 10.4 / zones, 2.2, 3 * second, second, 15 * second, 18, 4.5, 0},
		},
	}
	for k := range d.Kinds {
		d.Bursts = append(d.Bursts, Burst{k, 3 * second, 9 * second})
	}
	return d
}

// Troubled are a zone's loads with the VM that leads in trouble: dead, standing
// still, slow, cut in one direction or the other, and two of them dead at once.
func Troubled(vms int) []Deployment {
	var all []Deployment
	for _, f := range []Fault{
		{Trouble: Dies, Count: 1},
		{Trouble: Freezes, Count: 1, For: 3 * second},
		{Trouble: Slows, Count: 1, For: 3 * second},
		{Trouble: LosesSent, Count: 1, For: 3 * second},
		{Trouble: LosesReceived, Count: 1, For: 3 * second},
		{Trouble: Dies, Count: 2},
	} {
		f.At = 5 * second
		d := Zone(vms)
		d.Faults = []Fault{f}
		d.Name = fmt.Sprintf("%s, %s %d", d.Name, f.Trouble, f.Count)
		all = append(all, d)
	}
	return all
}

// Mixed is a fleet with engines enough, before many small VMs, of which some prompts
// are above an engine's memory, and whose mix changes: bursts of long prompts, of
// short ones, and of long ones again.
func Mixed() Deployment {
	d := Deployment{
		Name: "mixed", VMs: 67, Engines: 45, Lasts: 15 * second, Figures: figures(12, 405_000, 38, 154, 0.162),
		Kinds: []Kind{
			{"question", 4960, 0.9, 23_800, 1370, 3400, 48, 3.5, 300 * millisecond, 250 * millisecond, 10 * second, 1.3, 0.34, 0},
			{"brief", 45_000, 0.5, 110_000, 800, 2000, 3.8, 2.3, 1500 * millisecond, 600 * millisecond, 10 * second, 3.3, 0.82, 0},
			{"file", 260_000, 0.55, 900_000, 680, 1700, 0.35, 3.9, 4 * second, second, 15 * second, 34, 8.6, 0},
		},
	}
	for i, kinds := range [][]int{{1, 2}, {0}, {1, 2}} {
		from := time.Duration(2+4*i) * second
		for _, k := range kinds {
			d.Bursts = append(d.Bursts, Burst{k, from, from + 4*second})
		}
	}
	return d
}

// Restarted are its loads with all VMs, half and a third of them started again in
// the burst of short prompts.
func Restarted() []Deployment {
	all := []Deployment{Mixed()}
	for _, every := range []int{1, 2, 3} {
		d := Mixed()
		d.Faults = []Fault{{Trouble: Restarts, Every: every, At: 8 * second, For: 700 * millisecond}}
		d.Name = fmt.Sprintf("%s, one of %d restarts", d.Name, every)
		all = append(all, d)
	}
	return all
}

// Crowded is a fleet whose callers have three priorities and ask for more than can be
// served: a burst of the least urgent, of the most urgent beside it, and of the others
// after both.
func Crowded() Deployment {
	d := Deployment{
		Name: "crowded", VMs: 12, Engines: 30, Figures: figures(12, 197_200, 48, 206, 0.138), Lasts: 20 * second,
		Kinds: []Kind{
			{"alert", 4960, 0.9, 23_800, 1470, 3680, 38, 3, 250 * millisecond, 250 * millisecond, 10 * second, 1.8, 0.18, 0},
			{"summary", 45_000, 0.5, 110_000, 880, 2200, 4.5, 3, 1500 * millisecond, 600 * millisecond, 10 * second, 2.4, 0.61, 1},
			{"digest", 190_000, 0.55, 600_000, 730, 1800, 1.6, 6, 6 * second, second, 15 * second, 7.3, 2.8, 2},
		},
	}
	d.Bursts = []Burst{{2, 2 * second, 14 * second}, {0, 8 * second, 15 * second}, {1, 15 * second, 20 * second}}
	return d
}

// between draws evenly on a logarithmic scale.
func between(draw *rand.Rand, least, most float64) float64 {
	return least * math.Exp(draw.Float64()*math.Log(most/least))
}

// Drawn is a deployment that nobody has: any fleet within wide bounds, with any
// mix of two to four kinds, in bursts of one after the other, a third of them
// with a third of their engines lost. Its load is between a half and nine tenths
// of what its engines could do without a pause.
func Drawn(seed uint64) Deployment {
	draw := rand.New(rand.NewPCG(seed, 1))
	d := Deployment{
		Name: fmt.Sprintf("drawn-%d", seed), VMs: 3 + draw.IntN(6), Engines: int(between(draw, 6, 80)), Lasts: 10 * second,
		Figures: figures(6+draw.IntN(19), int(between(draw, 150_000, 600_000)), 30+draw.IntN(30), between(draw, 100, 400), between(draw, 0.05, 0.2)),
	}
	prompt := between(draw, 1000, 8000)
	busy := 0.0
	for i := range 2 + draw.IntN(3) {
		answer := int(between(draw, 300, 2500))
		k := Kind{
			Name: string(rune('a' + i)), Prompt: prompt, Spread: 0.4 + 0.5*draw.Float64(), Most: min(1e6, 4.7*prompt),
			Answer: answer, Bound: int(float64(answer) * (1.5 + 2*draw.Float64())), Peak: 1.5 + 1.5*draw.Float64(),
			Pause: time.Duration(between(draw, 100, 1500)) * millisecond, Limit: 12 * second, Worth: math.Pow(prompt/5000, 0.5+0.4*draw.Float64()),
		}
		k.Late = k.Worth * (0.1 + 0.3*draw.Float64())
		work := d.work(prompt)
		k.Objective = time.Duration(300+1.2*work) * millisecond
		part := 0.1 + 0.3*draw.Float64()
		k.Rate = part * 1000 * float64(d.Engines) / (work + float64(answer)/float64(d.Figures.Slots))
		busy += part
		d.Kinds = append(d.Kinds, k)
		prompt *= between(draw, 3, 12)
		prompt = min(prompt, 300_000)
	}
	target := 0.5 + 0.4*draw.Float64()
	for i := range d.Kinds {
		d.Kinds[i].Rate *= target / busy / 1.5
		from := 2 + 2*float64(i)
		d.Bursts = append(d.Bursts, Burst{i, time.Duration(from * float64(second)), time.Duration((from + 2.5) * float64(second))})
	}
	if draw.IntN(3) == 0 {
		d.Lost, d.LostAt = d.Engines/3, 5*second
	}
	return d
}

// All are the known deployments and so many drawn ones.
func All(drawn uint64) []Deployment {
	all := Known()
	for seed := range drawn {
		all = append(all, Drawn(seed))
	}
	return all
}

// work is an engine's reading time of a prompt in milliseconds.
func (d *Deployment) work(tokens float64) float64 {
	return tokens/d.Figures.PrefillRate + tokens*tokens/2e6*d.Figures.AttentionTime
}

// arrivals draws all requests of a run, by time.
func (d *Deployment) arrivals(draw *rand.Rand) []*request {
	var all []*request
	for index := range d.Kinds {
		k := &d.Kinds[index]
		peak := max(1, k.Peak)
		for at := 0.0; ; {
			at += draw.ExpFloat64() / (k.Rate * peak)
			when := time.Duration(at * float64(second))
			if when >= d.Lasts {
				break
			}
			if rate := d.times(index, when); draw.Float64() >= rate/peak {
				continue
			}
			tokens := k.Prompt * math.Exp(k.Spread*draw.NormFloat64()-k.Spread*k.Spread/2)
			answer := float64(k.Answer) * math.Exp(0.6*draw.NormFloat64()-0.18)
			all = append(all, &request{
				kind: k, vm: draw.IntN(d.VMs), at: at * 1000,
				prompt: int(max(200, min(k.Most, tokens))), left: int(max(20, min(float64(k.Bound), answer))),
			})
		}
	}
	return all
}

// times is how many times its rate a kind comes at a moment.
func (d *Deployment) times(kind int, at time.Duration) float64 {
	for _, b := range d.Bursts {
		if b.Kind == kind && at >= b.From && at < b.Till {
			return max(1, d.Kinds[kind].Peak)
		}
	}
	return 1
}
