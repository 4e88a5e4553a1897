package describer_test

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/library/describer"
)

func TestClassesAreCountedByPriorityKindAndTeam(t *testing.T) {
	c := describer.Classes{}
	c.Add(describer.Class{Priority: 2, Team: "b", Kind: describer.Long}, 300)
	c.Add(describer.Class{Priority: 0, Team: "a", Kind: describer.Short}, 5)
	c.Add(describer.Class{Priority: 2, Team: "b", Kind: describer.Long}, 100)
	assert.DeepEqual(t, c.List(), []describer.Class{
		{Priority: 0, Team: "a", Kind: describer.Short, Count: 1, Oldest: 5},
		{Priority: 2, Team: "b", Kind: describer.Long, Count: 2, Oldest: 300},
	})
}

// Thousands of teams wait at once. The report must stay small, and must not lose the
// team that crowds the group.
func TestLargeReportKeepsTheLargestClasses(t *testing.T) {
	c := describer.Classes{}
	for i := range 3 * describer.MaxClasses {
		c.Add(describer.Class{Team: strconv.Itoa(i)}, 1)
	}
	for range 50 {
		c.Add(describer.Class{Team: "crowd"}, 1)
	}
	all := c.List()
	assert.Equal(t, len(all), describer.MaxClasses)
	kept := false
	for _, class := range all {
		kept = kept || (class.Team == "crowd" && class.Count == 50)
	}
	assert.Assert(t, kept)
}
