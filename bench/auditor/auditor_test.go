package auditor_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/auditor"
)

var paths = []string{
	"A question", "A long prompt's group", "A keyed call", "A publish", "A claim",
	"A loan", "A drain", "An order to load", "A cancel",
}

var faults = []string{
	"killed", "frozen and woken", "turned cold", "store down", "store slow",
	"answer lost after the effect", "late or doubled message",
	"lease lapsed while paused", "operators racing", "two together",
}

// Somebody renames a test, or adds a step without saying how it stands under a
// fault. The matrix would go on claiming a proof that nobody runs. That the
// tests named are run is given by go test work, which runs all of them.
func TestFaultMatrixIsWhole(t *testing.T) {
	root, err := auditor.Workspace(".")
	assert.NilError(t, err)
	tests, err := auditor.Tests(root)
	assert.NilError(t, err)
	file, err := os.Open(filepath.Join(root, "docs", "FAULTS.md"))
	assert.NilError(t, err)
	defer file.Close()
	page, err := auditor.Read(file)
	assert.NilError(t, err)
	assert.NilError(t, page.Check(paths, faults, tests).Err())
	proved, unproved, excluded := page.Count()
	t.Logf("cells: %d name a test, %d not proved, %d excluded", proved, unproved, excluded)
}

func TestCheckNamesWhatIsWrong(t *testing.T) {
	const head = "## A call\n| step | killed | cold |\n|---|---|---|\n"
	for _, c := range []struct{ name, page, want string }{
		{"whole", head + "| send | `deduplicator.TestA` | no: it keeps nothing |\n", ""},
		{"not proved", head + "| send | not proved | not proved: nothing kills it there |\n", ""},
		{"blank", head + "| send | | `deduplicator.TestA` |\n", "line 4: send, killed: the cell is blank"},
		{"unknown test", head + "| send | `deduplicator.TestA`, `deduplicator.TestB` | not proved |\n", "there is no test deduplicator.TestB"},
		{"unknown test in another folder", head + "| send | `lender.TestA` | not proved |\n", "there is no test lender.TestA"},
		{"unknown test in a reason", head + "| send | no: see `deduplicator.TestB` for it | not proved |\n", "there is no test deduplicator.TestB"},
		{"no reason", head + "| send | no: | not proved |\n", "the cell gives no reason"},
		{"words alone", head + "| send | surely | not proved |\n", `"surely" names no test`},
		{"too few cells", head + "| send | not proved |\n", "line 4: send: 2 cells under a header of 3"},
		{"too many cells", head + "| send | not proved | not proved | x |\n", "line 4: send: 4 cells under a header of 3"},
		{"no rows", head, "the table has no rows"},
		{"another column", strings.Replace(head, "cold", "warm", 1) + "| send | not proved | not proved |\n", "the columns are"},
		{"no table", "## A call\n", "no table for the path A call"},
	} {
		t.Run(c.name, func(t *testing.T) {
			page, err := auditor.Read(strings.NewReader(c.page))
			assert.NilError(t, err)
			err = page.Check([]string{"A call"}, []string{"killed", "cold"}, map[string]bool{"deduplicator.TestA": true}).Err()
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
		})
	}
}

// A test that is skipped, or a function that only has the look of a test, runs
// nothing, and go test passes.
func TestTestsThatDoNotRunAreNotListed(t *testing.T) {
	root := t.TempDir()
	folder := filepath.Join(root, "deduplicator")
	assert.NilError(t, os.Mkdir(folder, 0o700))
	const file = `package keeper_test
func TestMain(m *testing.M) {}
func TestA(t *testing.T) {}
func TestB(t *testing.T) { t.Skip("later") }
func (x) TestC(t *testing.T) {}
func FuzzD(f *testing.F) {}
func helper() {}
`
	assert.NilError(t, os.WriteFile(filepath.Join(folder, "keeper_test.go"), []byte(file), 0o600))
	tests, err := auditor.Tests(root)
	assert.NilError(t, err)
	assert.DeepEqual(t, tests, map[string]bool{"deduplicator.TestA": true, "deduplicator.FuzzD": true})
	_, err = auditor.Workspace(root)
	assert.ErrorContains(t, err, "no go.work")
}
