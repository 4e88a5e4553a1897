package placer

import "math"

const (
	// PauseBuckets is the number of buckets into which tolerated pauses are
	// sorted. The buckets start at shortestPause milliseconds, with
	// bucketsPerOctave of them until the pause has doubled, and end at 2.7 s;
	// the error is a sixth at most.
	PauseBuckets     = 24
	shortestPause    = 50.0
	bucketsPerOctave = 4
	// weightScale is the factor by which weights are multiplied before they
	// are rounded. Sums of integers return to exactly zero once everything
	// that was added has been subtracted.
	weightScale = 100
)

// PauseWeights is a histogram of the weights of streams, in hundredths, by the
// longest pause that their callers tolerate. It allows for callers with different
// tolerances at the same engines: which streams a prompt part makes late, and how
// much that costs, follows from their tolerated pauses and prompt lengths.
type PauseWeights [PauseBuckets]int32

// bucketPauses are the pauses in milliseconds that the buckets stand for. Bucket 0
// stands for no pause: a stream whose caller tolerates less than bucket 1 always
// counts as delayed.
var bucketPauses = func() (all [PauseBuckets]float64) {
	for i := 1; i < PauseBuckets; i++ {
		all[i] = shortestPause * math.Exp2(float64(i)/bucketsPerOctave)
	}
	return all
}()

// PauseWeights returns the histogram of this request alone: its weight in the last
// bucket whose pause does not exceed the one that its caller tolerates.
func (r Request) PauseWeights() (w PauseWeights) {
	bucket := 0
	if r.MaxPause >= bucketPauses[1] {
		// A pause equal to a bucket's must not be rounded into the one before.
		const rounding = 1e-9
		bucket = min(PauseBuckets-1, int(bucketsPerOctave*math.Log2(r.MaxPause/shortestPause)+rounding))
	}
	w[bucket] = int32(math.Round(r.weight() * weightScale))
	return w
}

// delayedBy returns the sum of the weights of streams whose callers do not tolerate a
// pass of the given length in milliseconds.
func (w *PauseWeights) delayedBy(pass float64) float64 {
	sum := int32(0)
	for bucket, n := range w {
		if n > 0 && pass > usablePauseShare*bucketPauses[bucket] {
			sum += n
		}
	}
	return float64(sum) / weightScale
}
