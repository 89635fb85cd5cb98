// Package lab plays sets of days through the emulator and keeps what came of them: parameters, seed, version, series by
// the second, histograms and the rules' verdicts, as files that other tools read. On top of that it sweeps over grids,
// compares pair by pair, hunts for the worst day and shrinks it, and draws reports. docs/lab.md tells how far the figures
// may be trusted.
package lab
