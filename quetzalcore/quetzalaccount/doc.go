// Package quetzalaccount holds the client accounts of the configuration in force, and the decisions
// about them: which account a key belongs to, how the cap of an account is divided between pools,
// and which work of an account comes after that of the others.
//
// The decisions take plain values. They write these tables of the Registry and no others:
//
//	Accounts  accounts and their keys, by Registry.Apply
//	Holdings  what an account may run in a pool and what it runs there; package quetzallimit writes it
package quetzalaccount
