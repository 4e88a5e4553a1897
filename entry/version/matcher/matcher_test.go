package matcher_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/entry/version/matcher"
)

func table() *matcher.Table {
	return matcher.New(matcher.Config{
		Version: 3,
		Routes: []matcher.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Split: []matcher.WeightedService{{Service: "one", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Split: []matcher.WeightedService{{Service: "two", Weight: 1}}},
			{Name: "shallow", Host: "A.example", Prefix: "/x/"},
			{Name: "other", Host: "b.example", Prefix: "/x/"},
		},
		Services: []matcher.Service{{Name: "one"}, {Name: "two"}},
		Teams:    []matcher.Team{{Name: "t", APIKeys: []string{"k1", "k2"}}},
	})
}

// A path that were unescaped before matching could reach a service that the raw path
// doesn't name.
func TestRouteMatchesLongestPrefix(t *testing.T) {
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example:8080", "/x/y/", "deep"},
		{"A.EXAMPLE", "/x/z", "shallow"},
		{"a.example", "/x", "all"},
		{"a.example", "/x%2fy/", "all"},
		{"a.example", "/%78/y/", "all"},
		{"a.example", "/x//y/", "shallow"},
		{"a.example", "/q?/x/y/", "all"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/z/", ""},
		{"c.example", "/x/", ""},
	}
	for _, test := range tests {
		name := ""
		if r, ok := table().Route(test.host, test.path); ok {
			name = r.Name
		}
		assert.Equal(t, name, test.want, "%s%s", test.host, test.path)
	}
}

func TestTeamOfKey(t *testing.T) {
	m, ok := table().Team("k2")
	assert.Assert(t, ok)
	assert.Equal(t, m.Name, "t")
	_, ok = table().Team("k3")
	assert.Assert(t, !ok)
	_, ok = table().Team("")
	assert.Assert(t, !ok)
	assert.Assert(t, table().RequiresKey())
}

func TestRepeatableByKind(t *testing.T) {
	tests := []struct {
		route matcher.Route
		want  bool
	}{
		{matcher.Route{Kind: matcher.Unsafe}, false},
		{matcher.Route{Kind: matcher.Unsafe, Resumable: true}, false},
		{matcher.Route{Kind: matcher.Safe}, true},
		{matcher.Route{Kind: matcher.Stream}, false},
		{matcher.Route{Kind: matcher.Stream, Resumable: true}, true},
	}
	for _, test := range tests {
		assert.Equal(t, test.route.Repeatable(), test.want, "%+v", test.route)
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := matcher.Route{Split: []matcher.WeightedService{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}, {Service: "none"}}}
	counts := map[string]int{}
	const draws = 20_000
	for range draws {
		name, ok := r.PickService()
		assert.Assert(t, ok)
		counts[name]++
	}
	assert.Equal(t, counts["none"], 0)
	assert.Assert(t, counts["two"] > draws*8/100 && counts["two"] < draws*12/100, "%v", counts)
	_, ok := (&matcher.Route{}).PickService()
	assert.Assert(t, !ok)
}

// A service's requests compete by priority only where its routes or teams differ in it:
// another service's routes must not count.
func TestServiceKnowsThePrioritiesOfItsRequests(t *testing.T) {
	table := matcher.New(matcher.Config{
		Routes: []matcher.Route{
			{Prefix: "/a/", Priority: 2, Split: []matcher.WeightedService{{Service: "s", Weight: 1}}},
			{Prefix: "/b/", Priority: 0, Split: []matcher.WeightedService{{Service: "s", Weight: 1}, {Service: "u", Weight: 1}}},
		},
		Services: []matcher.Service{{Name: "s"}, {Name: "u"}, {Name: "idle"}},
	})
	for name, want := range map[string][]int{"s": {0, 2}, "u": {0}, "idle": nil} {
		s, ok := table.Service(name)
		assert.Assert(t, ok)
		assert.DeepEqual(t, s.Priorities, want)
		assert.Equal(t, s.HasPriorities(), len(want) > 1)
		for i, priority := range want {
			rank, ranks := s.Rank(priority)
			assert.Equal(t, rank, i)
			assert.Equal(t, ranks, len(want))
		}
	}
	table = matcher.New(matcher.Config{
		Routes:   []matcher.Route{{Prefix: "/a/", Priority: 2, Split: []matcher.WeightedService{{Service: "s", Weight: 1}}}},
		Services: []matcher.Service{{Name: "s"}},
		Teams:    []matcher.Team{{Name: "urgent", Priority: 0, HasPriority: true}, {Name: "other"}},
	})
	s, _ := table.Service("s")
	assert.DeepEqual(t, s.Priorities, []int{0, 2})
	assert.Assert(t, !s.HasPriorities(), "its requests differ by team alone")
}

// All teams have the same priority, as where a platform gives each a default: the routes'
// priorities must still tell their requests apart. Those of a more urgent team go first.
func TestRoutePriorityOrdersRequestsOfEqualTeams(t *testing.T) {
	config := matcher.Config{
		Routes: []matcher.Route{
			{Prefix: "/a/", Priority: 0, Split: []matcher.WeightedService{{Service: "s", Weight: 1}}},
			{Prefix: "/b/", Priority: 4, Split: []matcher.WeightedService{{Service: "s", Weight: 1}}},
			{Prefix: "/c/", Priority: 3, Split: []matcher.WeightedService{{Service: "u", Weight: 1}}},
		},
		Services: []matcher.Service{{Name: "s"}, {Name: "u"}},
		Teams:    []matcher.Team{{Name: "x", Priority: 1, HasPriority: true}, {Name: "y", Priority: 1, HasPriority: true}},
	}
	s, _ := matcher.New(config).Service("s")
	assert.Equal(t, len(s.Priorities), 2)
	a, b, x := &config.Routes[0], &config.Routes[1], &config.Teams[0]
	assert.Assert(t, s.Priority(a, x) < s.Priority(b, x))
	u, _ := matcher.New(config).Service("u")
	assert.DeepEqual(t, u.Priorities, []int{1})
	assert.Equal(t, u.Priority(&config.Routes[2], x), 1, "one route's priority: the team's number as it is")
	config.Teams[1].Priority = 0
	s, _ = matcher.New(config).Service("s")
	assert.Equal(t, len(s.Priorities), 4)
	assert.Assert(t, s.Priority(b, &config.Teams[1]) < s.Priority(a, x), "the team takes precedence")
	for i, priority := range []int{s.Priority(a, &config.Teams[1]), s.Priority(b, &config.Teams[1]), s.Priority(a, x), s.Priority(b, x)} {
		rank, ranks := s.Rank(priority)
		assert.Equal(t, rank, i)
		assert.Equal(t, ranks, 4)
	}
}
