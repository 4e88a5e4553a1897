package relayer

import (
	"errors"
	"net/http"
	"time"

	"github.com/heathervane/heathervane/entry/connection/carrier"
	"github.com/heathervane/heathervane/entry/process/accountant"
	"github.com/heathervane/heathervane/entry/request/reader"
	"github.com/heathervane/heathervane/entry/request/refuser"
)

const (
	// callerSendBuffer is what the kernel holds for a caller that does not read: unsent
	// data with its bookkeeping. upstreamReceiveBuffer is what an upstream may have sent
	// and this VM not read, requestOverhead what else a request takes: two goroutines and
	// the buffers of their connections, and the first event or part of its response.
	callerSendBuffer      = 2 * carrier.MaxUnsent
	upstreamReceiveBuffer = 32 << 10
	requestOverhead       = 16 << 10
	// requestMemory is the memory that each request takes besides its body.
	requestMemory = callerSendBuffer + upstreamReceiveBuffer + requestOverhead
	// eventReserve is the part of requestMemory for the first event of a stream, and
	// responseReserve that for the start of a buffered response.
	eventReserve    = 8 << 10
	responseReserve = 8 << 10
	// initialResponse is the size that the buffer of a response begins with.
	initialResponse = 1 << 10
)

// errEnded reports a response that was ended because memory was short.
var errEnded = errors.New("caller reads too slowly, and memory is short")

// openMemory takes the memory that a request needs besides its body. It returns a refusal
// if it is not free.
func (r *Relayer) openMemory(w http.ResponseWriter, j *job) *refuser.Refusal {
	control := http.NewResponseController(w)
	j.memory = r.deps.Memory.Open(j.teamName(), func(e accountant.Ending) {
		j.ended.Store(&e)
		control.SetWriteDeadline(time.Unix(0, 1)) //nolint:errcheck // a closed connection needs no deadline
	})
	now := r.deps.Now()
	if j.memory.Admit(now, accountant.Sockets, requestMemory) {
		return nil
	}
	return refuser.New(http.StatusServiceUnavailable, reader.CodeMemory, "no memory is free for the request").
		WithRetryAfter(r.deps.Memory.RetryAfter(now, j.teamName(), requestMemory))
}

// logMemory logs a refusal for lack of memory with the inputs of the decision.
func (r *Relayer) logMemory(j *job, f *refuser.Refusal) {
	u := r.deps.Memory.Usage(j.teamName())
	line := r.deps.Log.Info().Str("id", j.info.ID).Str("team", j.teamName()).Int64("length", j.request.ContentLength).
		Int64("team_used", u.Team).Int64("used", u.Used).Int64("total", u.Total).Dur("retry_after", f.RetryAfter)
	for k, n := range u.ByKind {
		line.Int64(accountant.Kind(k).String(), n)
	}
	line.Msg("request refused for lack of memory")
}

// logEnding logs that a response was ended for lack of memory, with the inputs of the
// decision.
func (r *Relayer) logEnding(j *job, e *accountant.Ending) {
	r.deps.Meter.Count("memory.ended", 1)
	r.deps.Log.Info().Str("id", j.info.ID).Str("team", j.teamName()).Dur("behind", e.Behind).Int64("held", e.Held).
		Str("for_team", e.Team).Int64("lacking", e.Lacking).Msg("response of a slow caller ended for lack of memory")
}

// A bodyBudget is the memory for the body of one request.
type bodyBudget struct {
	holder *accountant.Holder
	now    func() time.Time
}

// TryAcquire implements reader.MemoryBudget.
func (b bodyBudget) TryAcquire(n int64) bool { return b.holder.Admit(b.now(), accountant.Bodies, n) }

// Release implements reader.MemoryBudget.
func (b bodyBudget) Release(n int64) { b.holder.Release(b.now(), accountant.Bodies, n) }

// A callerWriter writes a buffered response to the caller, and records when the caller does
// not take it.
type callerWriter struct {
	http.ResponseWriter
	memory *accountant.Holder
	now    func() time.Time
}

// Write implements io.Writer.
func (w callerWriter) Write(p []byte) (int, error) {
	w.memory.Behind(w.now())
	defer w.memory.CaughtUp()
	return w.ResponseWriter.Write(p)
}
