package wiretest

import (
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type embedded struct{ Within int }

type generic[T any] struct {
	Value T `json:"Value,omitempty"`
}

func TestUntagged(t *testing.T) {
	type inner struct{ Deep int }
	type sample struct {
		embedded
		Named   int               `json:"Named"`
		Empty   int               `json:",omitempty"`
		Left    int               `json:"-"`
		Map     map[string]*inner `json:"Map"`
		Generic generic[[]inner]  `json:"Generic"`
		At      time.Time         `json:"At"`
		private int
	}
	require.Zero(t, sample{}.private, "an unexported field needs no tag")
	require.Equal(t, []string{"wiretest.embedded.Within", "wiretest.sample.Empty", "wiretest.inner.Deep"}, untagged(reflect.TypeFor[sample]()))
}
