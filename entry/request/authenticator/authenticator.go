// Package authenticator authenticates requests by their bearer token and reads
// their time limit. It reads headers only.
package authenticator

import (
	"net/http"
	"strings"
	"time"

	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/version/viewer"
	"github.com/heathervane/heathervane/library/checker"
)

// TimeoutHeader is the request header with the caller's time limit in seconds.
const TimeoutHeader = "Request-Timeout"

// NotReady returns the refusal of a VM that has not loaded a configuration yet.
func NotReady() *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, "not_ready", "this VM has no configuration yet").WithRetryAfter(time.Second)
}

// Team returns the team that the bearer token of a request belongs to.
func Team(v *viewer.View, q *http.Request) (viewer.Team, *refuser.Refusal) {
	scheme, bearer, _ := strings.Cut(q.Header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "Bearer") {
		if t, ok := v.Team(strings.TrimSpace(bearer)); ok {
			return t, nil
		}
	}
	return viewer.Team{}, refuser.New(http.StatusUnauthorized, "unknown_token", "the bearer token is missing or names no team")
}

// Timeout returns the time limit of a request: that of its Request-Timeout
// header, which must be between minLimit and maxLimit, or defaultLimit if it
// has none.
func Timeout(q *http.Request, defaultLimit, minLimit, maxLimit checker.Duration) (time.Duration, *refuser.Refusal) {
	d, err := viewer.ParseTimeLimit(q.Header.Get(TimeoutHeader), defaultLimit, minLimit, maxLimit)
	if err != nil {
		return 0, refuser.BadRequest(TimeoutHeader, "bad_timeout", "%s", err)
	}
	return d, nil
}
