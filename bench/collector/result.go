// Package collector turns what an experiment's run recorded into its measures:
// times by load, window and prompt length, what callers got, and what the
// upstreams counted. It plays nothing and writes no file.
package collector

// A Result is all measures of one policy in one experiment. Times in it are in
// milliseconds.
type Result struct {
	Name   string  `json:"name"`
	Text   string  `json:"text"`
	Fleet  string  `json:"fleet"`
	Policy string  `json:"policy"`
	Seed   uint64  `json:"seed"`
	Time   float64 `json:"time"`
	// Lag is how late the generator sent.
	Lag Times `json:"lag"`
	// Full is the experiment, Reference its reference loads alone, if it has
	// any.
	Full      Part  `json:"full"`
	Reference *Part `json:"reference,omitempty"`
}

// A Part is one play of an experiment's loads.
type Part struct {
	// Totals counts what all requests got.
	Totals Totals `json:"totals"`
	// Groups are the measures by load, window and band of prompt length, and
	// by load and window over all bands.
	Groups []Group `json:"groups"`
	// Refusals are measures of requests turned away.
	Refusals Refusals `json:"refusals"`
	// Windows are measures of each window over all loads.
	Windows []Window `json:"windows"`
	// Cold lists upstreams that got more than they bear while cold.
	Cold []Overload `json:"cold,omitempty"`
	// Peak is the highest part of what it bears that any cold upstream got.
	Peak float64 `json:"peak"`
	// Doubled counts bookings with more than one effect, and Bookings all that
	// were sent; Untrue counts "not run" said of a booking that had an effect.
	Bookings int `json:"bookings"`
	Doubled  int `json:"doubled"`
	Untrue   int `json:"untrue"`
	// Entered counts work begun in a zone later than three seconds after it
	// was out and before it came in again.
	Entered int `json:"entered"`
	// Series follow each load through time.
	Series []Series `json:"series"`
	// Events are when the events happened, in seconds from the start.
	Events []Event `json:"events,omitempty"`
}

// Totals counts what requests got.
type Totals struct {
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`
	Refused int `json:"refused"`
	Cut     int `json:"cut"`
	Wrong   int `json:"wrong"`
	Lost    int `json:"lost"`
	// Late counts requests that ended after their limit.
	Late int `json:"late"`
	// Goodput is the prompt and answer tokens of whole answers in time, a
	// second of arrivals.
	Goodput float64 `json:"goodput"`
}

// Times are quantiles of a time in milliseconds.
type Times struct {
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// A Group is the requests of one load, one window and one band; an empty window
// or band means all.
type Group struct {
	Load   string `json:"load"`
	Window string `json:"window,omitempty"`
	Band   string `json:"band,omitempty"`
	Totals Totals `json:"totals"`
	// First is the time to the first token, Gap that between tokens, of whole
	// answers; End the time to the end of all requests.
	First Times `json:"first"`
	Gap   Times `json:"gap"`
	End   Times `json:"end"`
}

// Refusals are measures of requests turned away.
type Refusals struct {
	Codes map[string]int `json:"codes"`
	// End is the time from when the request was due to the end of the refusal,
	// its Answer the same from when it was sent, of requests turned away as
	// surplus (429 and 503). The second leaves out the generator's own lag.
	End    Times `json:"end"`
	Answer Times `json:"answer"`
	// Hinted is the part of them that say when to come back.
	Hinted float64 `json:"hinted"`
}

// A Window is what upstreams got in a span.
type Window struct {
	Name string `json:"name"`
	// Shares is each upstream's part of the questions by its name.
	Shares map[string]float64 `json:"shares"`
}

// An Overload is a cold upstream that got more than it bears.
type Overload struct {
	Upstream string `json:"upstream"`
	Peak     int    `json:"peak"`
	Bears    int    `json:"bears"`
	Falls    int    `json:"falls"`
}

// An Event is when an event happened.
type Event struct {
	What string  `json:"what"`
	On   string  `json:"on"`
	At   float64 `json:"at"`
	Took float64 `json:"took"`
}

// A Series is the first token of one load by the second in which requests were
// due, in milliseconds; a second without a whole answer is 0.
type Series struct {
	Load string    `json:"load"`
	P95  []float64 `json:"p95"`
}
