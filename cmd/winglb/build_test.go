package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The large-fleet benchmark intercepts sockets and clocks with a preloaded library, which has no effect on a daemon
// that is not linked dynamically against the C library.
func TestBuildOfTheDeployFileNeedsTheCLibrary(t *testing.T) {
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	build := regexp.MustCompile(`(?m)^build = "(.*?)"`).FindSubmatch(deploy)
	require.NotNil(t, build)
	out := t.TempDir()
	line := strings.Replace(string(build[1]), "-o bin/ ./cmd/...", "-o '"+out+"/' ./cmd/winglb", 1)
	require.NotEqual(t, string(build[1]), line, "the build goes to bin/")
	cmd := exec.Command("sh", "-c", strings.Replace(line, "mkdir -p bin && ", "", 1))
	cmd.Dir = "../.."
	output, err := cmd.CombinedOutput()
	require.NoError(t, err, string(output))

	file, err := elf.Open(filepath.Join(out, "winglb"))
	require.NoError(t, err)
	defer file.Close()
	require.NotNil(t, file.Section(".interp"), "the daemon has an interpreter")
	libs, err := file.ImportedLibraries()
	require.NoError(t, err)
	require.Contains(t, libs, "libc.so.6")
	require.Contains(t, string(deploy), `run = "exec bin/winglb"`, "one process")
}
