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

// RaceEnv names an environment variable. If it is set, the binaries are built
// with the race detector.
const RaceEnv = "MASTICWING_RACE"

var binaries struct {
	once sync.Once
	dir  string
	err  error
}

// RepoRoot returns the root directory of the repository.
func RepoRoot() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..")
}

// Binary returns the path of a binary of ./cmd. The first call builds all
// binaries into a temporary directory, which RemoveBinaries removes.
func Binary(name string) (string, error) {
	binaries.once.Do(func() { binaries.dir, binaries.err = buildBinaries() })
	if binaries.err != nil {
		return "", binaries.err
	}
	path := filepath.Join(binaries.dir, name)
	if _, err := os.Stat(path); err != nil {
		return "", errors.Wrapf(err, "./cmd has no binary %s", name)
	}
	return path, nil
}

func buildBinaries() (string, error) {
	dir, err := os.MkdirTemp("", "masticwing-bin-")
	if err != nil {
		return "", errors.Wrap(err, "creating the directory for binaries")
	}
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if os.Getenv(RaceEnv) != "" {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "./cmd/...")...)
	cmd.Dir = RepoRoot()
	if out, err := cmd.CombinedOutput(); err != nil {
		return dir, errors.Wrapf(err, "building ./cmd: %s", out)
	}
	return dir, nil
}

// RemoveBinaries removes the directory of the binaries that Binary built.
func RemoveBinaries() {
	if binaries.dir != "" {
		_ = os.RemoveAll(binaries.dir)
	}
}

// Main runs the tests of a package that uses the harness, removes the binaries
// and returns the exit code. Call it from TestMain.
func Main(m *testing.M) int {
	defer RemoveBinaries()
	return m.Run()
}
