// Package quetzaltrial drives the systems of several entries on a virtual clock
// against small fakes of the platform and of minions. Tests search it for broken
// promises, experiments compare policies in it. A trial with the same seed and
// script repeats itself exactly.
//
// It is no model of a network: messages take a fixed time, and what a test cuts,
// freezes or loses is cut, frozen or lost completely.
package quetzaltrial
