// Package authenticator is what every request passes first: the team that its token
// names, and the time limit that it asks for. It reads headers only.
package authenticator

import (
	"net/http"
	"strings"
	"time"

	"github.com/heathervane/heathervane/entry/request/refuser"
	"github.com/heathervane/heathervane/entry/version/viewer"
	"github.com/heathervane/heathervane/library/checker"
)

// TimeoutHeader asks for a time limit in seconds.
const TimeoutHeader = "Request-Timeout"

// NotReady is the refusal of a VM that has found no configuration yet.
func NotReady() *refuser.Refusal {
	return refuser.New(http.StatusServiceUnavailable, "not_ready", "this VM has no configuration yet").WithRetryAfter(time.Second)
}

// Team returns the team of a request.
func Team(v *viewer.View, q *http.Request) (viewer.Team, *refuser.Refusal) {
	scheme, bearer, _ := strings.Cut(q.Header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, "Bearer") {
		if t, ok := v.Team(strings.TrimSpace(bearer)); ok {
			return t, nil
		}
	}
	return viewer.Team{}, refuser.New(http.StatusUnauthorized, "unknown_token", "the bearer token is missing or names no team")
}

// Timeout returns the time limit of a request within the bounds of its work.
func Timeout(q *http.Request, limit, least, most checker.Duration) (time.Duration, *refuser.Refusal) {
	d, err := viewer.ParseTimeLimit(q.Header.Get(TimeoutHeader), limit, least, most)
	if err != nil {
		return 0, refuser.BadRequest(TimeoutHeader, "bad_timeout", "%s", err)
	}
	return d, nil
}
