package starter

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/zeebo/errs"
)

// Programs are the paths of the built programs.
type Programs struct {
	Entry    string
	Operator string
	Standin  string
}

// Build builds the programs into a folder. The processes are then started from
// there, because go run would put a process between the bench and the program
// that signals would have to pass.
func Build(ctx context.Context, folder string) (Programs, error) {
	root, err := workspace()
	if err != nil {
		return Programs{}, err
	}
	command := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", folder+string(filepath.Separator),
		"./entry", "./operator", "./standin")
	command.Dir = root
	if out, err := command.CombinedOutput(); err != nil {
		return Programs{}, errs.New("build the programs: %v\n%s", err, out)
	}
	return Programs{
		Entry:    filepath.Join(folder, "entry"),
		Operator: filepath.Join(folder, "operator"),
		Standin:  filepath.Join(folder, "standin"),
	}, nil
}

// workspace is the nearest folder upwards that holds go.work.
func workspace() (string, error) {
	start, err := os.Getwd()
	if err != nil {
		return "", errs.Wrap(err)
	}
	for folder := start; ; folder = filepath.Dir(folder) {
		if _, err := os.Stat(filepath.Join(folder, "go.work")); err == nil {
			return folder, nil
		}
		if folder == filepath.Dir(folder) {
			return "", errs.New("no go.work at %s or above it: run the bench inside the workspace", start)
		}
	}
}
