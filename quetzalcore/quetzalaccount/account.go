package quetzalaccount

import (
	"crypto/sha256"

	"quetzalstair/quetzalcore/quetzaltable"
	"quetzalstair/quetzalcore/quetzalunit"
)

// Row refers to an entity of a table.
type Row = quetzaltable.Row

// Spec is the configuration of a client account.
type Spec struct {
	ID   quetzalunit.AccountID
	Keys []quetzalunit.KeyDigest
	// Weight is the account's share of a full pool. Weights that are not positive count as MinWeight.
	Weight quetzalunit.AccountWeight
	// Cap limits what the account may have running over all pools. A component that is zero is not limited.
	Cap quetzalunit.Resources
}

// MinWeight is the smallest weight of an account.
const MinWeight quetzalunit.AccountWeight = 0.01

// Account is a client account of the configuration in force or of an earlier one.
type Account struct {
	Spec
	// Removed reports whether the configuration in force lacks the account. Its accepted jobs continue under
	// its last weight and cap.
	Removed bool
}

// DigestKey returns the digest of a key. No key has the zero digest, which stands for none.
func DigestKey(key string) quetzalunit.KeyDigest {
	return sha256.Sum256([]byte(key))
}

// Registry has the client accounts that a process knows. The zero value has none.
type Registry struct {
	Accounts quetzaltable.Table[Account]
	Holdings quetzaltable.Table[Holding]

	ByID         quetzaltable.Index[quetzalunit.AccountID]
	ByKey        quetzaltable.Index[quetzalunit.KeyDigest]
	HoldingByKey quetzaltable.Index[HoldingKey]

	// Division is the division of the caps as far as this process knows it.
	Division DivisionState
	// InUse reports whether the configuration in force has accounts, so that calls need keys.
	InUse bool
}

// Apply puts the accounts of a configuration into force. It returns the accounts with a key that belongs to
// another one, which is listed before.
func (r *Registry) Apply(specs []Spec) []quetzalunit.AccountID {
	for _, a := range r.Accounts.All() {
		a.Removed = true
	}
	r.ByKey = quetzaltable.Index[quetzalunit.KeyDigest]{}
	r.InUse = len(specs) > 0
	var ambiguous []quetzalunit.AccountID
	for _, spec := range specs {
		row := r.ByID.Get(spec.ID)
		if row == 0 {
			row = r.Accounts.Insert(Account{})
			r.ByID.Put(spec.ID, row)
		}
		spec.Weight = max(spec.Weight, MinWeight)
		spec.Cap = validCap(spec.Cap)
		*r.Accounts.At(row) = Account{Spec: spec}
		for _, key := range spec.Keys {
			if owner := r.ByKey.Get(key); owner != 0 && owner != row {
				ambiguous = append(ambiguous, spec.ID)
				continue
			}
			r.ByKey.Put(key, row)
		}
	}
	return ambiguous
}

// validCap returns a cap whose negative components are replaced by the smallest limit.
func validCap(limit quetzalunit.Resources) quetzalunit.Resources {
	for d := range dimensions {
		if component(limit, d) < 0 {
			limit = withComponent(limit, d, 1)
		}
	}
	return limit
}

// Owner returns the account that a key belongs to, or false if no account of the configuration in
// force has the key. The key is found by its digest, which tells nothing about the key, so that the
// time of the search does not either.
func (r *Registry) Owner(key quetzalunit.KeyDigest) (quetzalunit.AccountID, bool) {
	a := r.Accounts.At(r.ByKey.Get(key))
	if a == nil {
		return "", false
	}
	return a.ID, true
}

// CapOf returns the cap of an account, zero if it has none or is not known.
func (r *Registry) CapOf(id quetzalunit.AccountID) quetzalunit.Resources {
	if a := r.Accounts.At(r.ByID.Get(id)); a != nil {
		return a.Cap
	}
	return quetzalunit.Resources{}
}

// CapOfHolding returns the cap of a holding's account, without a search for the account.
func (r *Registry) CapOfHolding(h *Holding) quetzalunit.Resources {
	if h.AccountRow == 0 {
		h.AccountRow = r.ByID.Get(h.Account)
	}
	if a := r.Accounts.At(h.AccountRow); a != nil {
		return a.Cap
	}
	return quetzalunit.Resources{}
}

// WeightOf returns the weight of an account, MinWeight if it is not known.
func (r *Registry) WeightOf(id quetzalunit.AccountID) quetzalunit.AccountWeight {
	if a := r.Accounts.At(r.ByID.Get(id)); a != nil {
		return a.Weight
	}
	return MinWeight
}

// HoldingOf returns the row of an account's holding in a pool and creates it if it does not exist.
func (r *Registry) HoldingOf(pool quetzalunit.PoolID, account quetzalunit.AccountID) Row {
	key := HoldingKey{Pool: pool, Account: account}
	row := r.HoldingByKey.Get(key)
	if row == 0 {
		row = r.Holdings.Insert(Holding{HoldingKey: key})
		r.HoldingByKey.Put(key, row)
	}
	return row
}
