package members

import (
	"testing"

	"caperrelay/internal/wiretest"
)

// TestEncodedForm fails if the JSON encoding of a struct that is stored or sent to another process changes.
func TestEncodedForm(t *testing.T) {
	wiretest.Check(t, &message{}, &meta{})
}
