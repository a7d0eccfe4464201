package wire

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A real dispatcher receives names where the simulator's adapter receives numbers: the index of a name in the settings
// is its number.
func TestNameIndexIsNumber(t *testing.T) {
	s, names, err := ParseSettings([]byte(`{"Zones": ["a", "b"], "Skus": ["m1", "m2"], "Tenants": [{"Name": "acme", "QuotaPerS": 8}],
		"RequestClasses": [{"Name": "preview", "Effect": "free"}, {"Name": "publish", "Effect": "single_shot"}]}`))
	require.NoError(t, err)
	require.Equal(t, Names{Classes: []string{"preview", "publish"}, Tenants: []string{"acme"}, Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}, names)
	require.Len(t, s.Classes, 2)
	require.InDelta(t, 8, s.Tenants[0].QuotaPerSecond, 0)
	_, _, err = ParseSettings([]byte(`[]`))
	require.Error(t, err)
}
