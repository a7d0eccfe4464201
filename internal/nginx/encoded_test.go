package nginx

import (
	"testing"

	"caperrelay/internal/wiretest"
)

// TestEncodedForm fails when the JSON form of a struct changes that is stored or sent to another process.
func TestEncodedForm(t *testing.T) {
	wiretest.Check(t, &Report{})
}
