package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"testing"

	"github.com/pkg/errors"
)

// RaceEnv is the environment variable that, if set, makes the harness build
// the binaries with the race detector.
const RaceEnv = "MASTICWING_RACE"

var binaries struct {
	once sync.Once
	dir  string
	err  error
}

// Root returns the root of the repository.
func Root() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..")
}

// Binary returns the path of a binary of ./cmd. The first call builds all of
// them into a temporary directory, which RemoveBinaries removes.
func Binary(name string) (string, error) {
	binaries.once.Do(func() { binaries.dir, binaries.err = build() })
	if binaries.err != nil {
		return "", binaries.err
	}
	p := filepath.Join(binaries.dir, name)
	if _, err := os.Stat(p); err != nil {
		return "", errors.Wrapf(err, "./cmd has no binary %s", name)
	}
	return p, nil
}

func build() (string, error) {
	dir, err := os.MkdirTemp("", "masticwing-bin-")
	if err != nil {
		return "", errors.Wrap(err, "creating the directory of binaries")
	}
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if os.Getenv(RaceEnv) != "" {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "./cmd/...")...)
	cmd.Dir = Root()
	if out, err := cmd.CombinedOutput(); err != nil {
		return dir, errors.Wrapf(err, "building ./cmd: %s", out)
	}
	return dir, nil
}

// RemoveBinaries removes what Binary built.
func RemoveBinaries() {
	if binaries.dir != "" {
		_ = os.RemoveAll(binaries.dir)
	}
}

// Main runs the tests of a package that uses the harness and returns the exit
// code. Call it from TestMain.
func Main(m *testing.M) int {
	defer RemoveBinaries()
	return m.Run()
}
