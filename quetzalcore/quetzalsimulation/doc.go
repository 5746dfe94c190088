// Package quetzalsimulation is a deterministic simulation of a fleet. It runs the systems of
// several entries on a virtual clock against fakes of the platform and of minions. Tests check it
// for violations of the guarantees; experiments compare policies in it. Two simulations with the
// same seed and script are identical.
//
// The network model is simple: messages have a fixed latency, and a partition, a
// freeze or the loss of answers affects every message.
package quetzalsimulation
