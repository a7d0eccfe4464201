package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// checkKnownRed runs the check of .ci/run on a list of known failures.
func checkKnownRed(t *testing.T, list string) (string, error) {
	file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	require.NoError(t, os.WriteFile(file, []byte(list), 0o600))
	cmd := exec.Command("bash", ".ci/known-red", "check", file)
	cmd.Dir = "../.."
	output, err := cmd.CombinedOutput()
	return string(output), err
}

// A list with malformed entries must stop CI: otherwise a test that does not exist would count as a known failure.
func TestKnownFailuresThatAreNotEntriesStopCI(t *testing.T) {
	for line, fault := range map[string]string{
		"go test ./cmd/winglb -run ^TestNowhere$ | seed 1 | fails | issue 1":  "there is no such test",
		"go test ./cmd/nowhere -run ^TestNowhere$ | seed 1 | fails | issue 1": "there is no such test",
		"see the roadmap | seed 1 | fails | issue 1":                          "no command",
		"make prove-gang | later | fails | issue 1":                           "no seed",
		"make prove-gang | no seed |  | issue 1":                              "not told what was seen",
		"make prove-gang | no seed | fails":                                   "no issue",
		"make prove-gang | no seed | fails | soon":                            "no issue",
	} {
		output, err := checkKnownRed(t, "# heading\n\n"+line+"\n")
		require.Error(t, err, line)
		require.Equal(t, "KNOWN-RED.txt: "+fault+": "+line+"\n", output)
	}
}

func TestKnownFailuresOfTestsAndCommandsAreEntries(t *testing.T) {
	output, err := checkKnownRed(t, "# heading\n\n"+
		"go test -race ./cmd/winglb -run ^TestKnownFailuresOfTestsAndCommandsAreEntries$ | no seed | fails at times | issue 1\n"+
		"bench X --rough herd+mass | seed 7 | a cold encoder falls | issue 2\n")
	require.NoError(t, err, output)
	require.Empty(t, output)
}
