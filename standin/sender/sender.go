// Package sender is a test double of the platform's weight store, whose readers share one
// rate limit.
package sender

import (
	"net/http"
	"strconv"

	"golang.org/x/time/rate"

	"github.com/heathervane/heathervane/standin/faulter"
)

// A Config configures a Sender.
type Config struct {
	// Rate is the rate limit of all readers together, in bytes per second.
	Rate float64
	// Size is the size of the weights of each model in bytes.
	Size int64
}

// piece is the number of bytes that are written at once.
const piece = 16 << 10

// A Sender is a weight store. It is safe for concurrent use.
type Sender struct {
	config Config
	faults *faulter.Faulter
	limit  *rate.Limiter
}

// New returns a Sender.
func New(c Config) *Sender {
	return &Sender{config: c, faults: faulter.New(nil), limit: rate.NewLimiter(rate.Limit(c.Rate), piece)}
}

// Handler serves weights, and the injection of faults.
func (s *Sender) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", s.send)
	return s.faults.Wrap(mux)
}

func (s *Sender) send(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(s.config.Size, 10))
	zeros := make([]byte, piece)
	for left := s.config.Size; left > 0; {
		n := min(left, piece)
		if err := s.limit.WaitN(r.Context(), int(n)); err != nil {
			return
		}
		if _, err := w.Write(zeros[:n]); err != nil {
			return
		}
		left -= n
	}
}
