// Package emulator provides the random models of a simulated day: service times, call arrivals and destinations,
// processor pauses and competing load, and network faults. Each model is described by a few numbers (means and
// coefficients of variation) and draws from a named random stream of its own, so that changing one model of a day
// does not change the draws of the others.
//
// The models are pure: time is an argument, and the same seed gives the same day. Package fleet applies them to the
// node core and the simulated callers, call servers and list server of package standin. docs/lab.md describes the
// limits of the models.
package emulator
