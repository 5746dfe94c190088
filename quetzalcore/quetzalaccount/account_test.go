package quetzalaccount_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"quetzalstair/quetzalcore/quetzalaccount"
	"quetzalstair/quetzalcore/quetzalunit"
)

func TestKeysOfTheNewestConfigurationAreInForce(t *testing.T) {
	var r quetzalaccount.Registry
	key := quetzalaccount.DigestKey("k1")
	_, ok := r.Owner(key)
	require.False(t, ok)
	r.Apply([]quetzalaccount.Spec{{ID: "a", Keys: []quetzalunit.KeyDigest{key}}})
	owner, ok := r.Owner(key)
	require.True(t, ok)
	require.Equal(t, quetzalunit.AccountID("a"), owner)
	_, ok = r.Owner(quetzalunit.KeyDigest{})
	require.False(t, ok, "no key")
	r.Apply([]quetzalaccount.Spec{{ID: "b", Keys: []quetzalunit.KeyDigest{key}}})
	owner, _ = r.Owner(key)
	require.Equal(t, quetzalunit.AccountID("b"), owner)
	r.Apply(nil)
	_, ok = r.Owner(key)
	require.False(t, ok)
	require.False(t, r.InUse)
}

func TestOddAccountsAreApplied(t *testing.T) {
	var r quetzalaccount.Registry
	shared := quetzalaccount.DigestKey(strings.Repeat("é\x00", 1<<16))
	ambiguous := r.Apply([]quetzalaccount.Spec{
		{ID: "first", Keys: []quetzalunit.KeyDigest{shared, shared}, Weight: -1},
		{ID: "second", Keys: []quetzalunit.KeyDigest{shared}, Cap: quetzalunit.Resources{Cores: -5, Memory: 7}},
	})
	require.Equal(t, []quetzalunit.AccountID{"second"}, ambiguous)
	owner, _ := r.Owner(shared)
	require.Equal(t, quetzalunit.AccountID("first"), owner)
	require.InDelta(t, float64(quetzalaccount.MinWeight), float64(r.WeightOf("first")), 0)
	require.Equal(t, quetzalunit.Resources{Cores: 1, Memory: 7}, r.CapOf("second"), "a negative cap is not taken for none")
	require.Equal(t, quetzalunit.Resources{}, r.CapOf("unknown"))
	r.Apply([]quetzalaccount.Spec{{ID: "first"}})
	require.Equal(t, quetzalunit.Resources{Cores: 1, Memory: 7}, r.CapOf("second"), "the jobs of a removed account keep its cap")
}
