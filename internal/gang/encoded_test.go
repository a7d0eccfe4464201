package gang

import (
	"testing"

	"caperrelay/internal/wiretest"
)

// TestEncodedForm fails if the JSON form of a type changes that is stored or sent to other processes.
func TestEncodedForm(t *testing.T) {
	wiretest.Check(t, &Command{}, &Result{}, &Reply{}, &Message{}, &state{})
}
