package pipelines

import (
	"testing"

	"caperrelay/internal/wiretest"
)

// TestEncodedForm fails where the JSON form of a struct changes that is stored or sent to another process.
func TestEncodedForm(t *testing.T) {
	wiretest.Check(t, &Outcome{}, &JobBody{})
}
