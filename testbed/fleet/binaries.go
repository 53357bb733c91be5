package fleet

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/go-faster/errors"
)

// Import paths of the programs that a fleet runs.
const (
	packageEntry   = "github.com/applepier/applepier/cmd/applepier"
	packageAgent   = "github.com/applepier/applepier/cmd/applepier-agent"
	packageStandIn = "github.com/applepier/applepier/testbed/cmd/standin"
)

// Binaries holds the paths of the built programs.
type Binaries struct {
	Entry   string
	Agent   string
	StandIn string

	dir string
}

// Build compiles the programs into a temporary directory. The working directory
// must be inside the Go workspace.
func Build(ctx context.Context) (*Binaries, error) {
	dir, err := os.MkdirTemp("", "applepier-bin-")
	if err != nil {
		return nil, errors.Wrap(err, "create directory for programs")
	}
	build := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator),
		packageEntry, packageAgent, packageStandIn)
	if output, err := build.CombinedOutput(); err != nil {
		os.RemoveAll(dir)
		return nil, errors.Wrapf(err, "go build: %s", output)
	}
	return &Binaries{
		Entry:   filepath.Join(dir, filepath.Base(packageEntry)),
		Agent:   filepath.Join(dir, filepath.Base(packageAgent)),
		StandIn: filepath.Join(dir, filepath.Base(packageStandIn)),
		dir:     dir,
	}, nil
}

// Remove deletes the built programs and their directory.
func (b *Binaries) Remove() {
	os.RemoveAll(b.dir)
}
