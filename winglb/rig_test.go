package winglb_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"caperrelay/internal/full"
	"caperrelay/internal/load"
	"caperrelay/internal/rig"
)

// The rig runs the test binary in place of winglb-full in its child processes.
func TestMain(m *testing.M) {
	var err error
	switch os.Getenv("WINGLB_RIG_ROLE") {
	case "daemon":
		err = full.Serve(os.Getenv("WINGLB_RIG_FILE"), os.Getenv)
	case "portal":
		err = rig.Portal(os.Getenv("WINGLB_RIG_FILE"), os.Stdout)
	default:
		os.Exit(m.Run())
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

func command(role, file string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "WINGLB_RIG_ROLE="+role, "WINGLB_RIG_FILE="+file)
	return cmd
}

var (
	preview = load.Class{Name: "preview", Rate: 100, Work: 20 * time.Millisecond, Left: 10 * time.Second}
	publish = load.Class{Name: "publish", Rate: 10, Work: 60 * time.Millisecond, Once: true, Left: 10 * time.Second}
)

// startRig returns a rig, which is a test deployment, whose daemons serve.
func startRig(t *testing.T, o rig.Options) *rig.Rig {
	o.Command, o.Dir = command, t.TempDir()
	if o.Classes == nil {
		o.Classes = []load.Class{preview, publish}
	}
	if testing.Verbose() {
		o.Output = os.Stderr
	}
	r, err := rig.New(o)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	require.NoError(t, r.StartAll(ctx))
	return r
}
