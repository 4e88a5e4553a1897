package placer

import "math"

const (
	// Steps is how many pauses between two events are told apart, from
	// shortestPause milliseconds on, perOctave of them until the pause has
	// doubled: up to 2.7 s, with an error of a sixth at most.
	Steps         = 24
	shortestPause = 50.0
	perOctave     = 4
	// stakeUnit is the fraction in which stakes are counted. Whole numbers come
	// back to zero when all that was added is taken off again.
	stakeUnit = 100
)

// PauseWeights are what streams count for, in hundredths, by the pause that their
// callers bear. They answer callers of any kind on the same engines: which of
// them lose by a part of a prompt, and how much, follows from what they bear and
// how long their prompts are.
type PauseWeights [Steps]int32

// limits are the pauses in milliseconds that the steps stand for. A stream whose
// caller bears less than the shortest is always at stake.
var limits = func() (all [Steps]float64) {
	for i := 1; i < Steps; i++ {
		all[i] = shortestPause * math.Exp2(float64(i)/perOctave)
	}
	return all
}()

// PauseWeights is that of one request, at the longest step that is no longer than the
// pause that its caller bears.
func (a Request) PauseWeights() (s PauseWeights) {
	step := 0
	if a.MaxPause >= limits[1] {
		// A pause that is a step's own must not fall below it by rounding.
		const rounding = 1e-9
		step = min(Steps-1, int(perOctave*math.Log2(a.MaxPause/shortestPause)+rounding))
	}
	s[step] = int32(math.Round(a.weight() * stakeUnit))
	return s
}

// below is what of the stakes is lost by a pass of so many milliseconds.
func (s *PauseWeights) below(pass float64) float64 {
	sum := int32(0)
	for step, n := range s {
		if n > 0 && pass > pauseSpare*limits[step] {
			sum += n
		}
	}
	return float64(sum) / stakeUnit
}
