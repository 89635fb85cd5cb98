// Package lab runs sets of simulated days and stores the results as files that other tools can read: parameters, seed,
// version, a time series with one row per second, histograms and the verdicts on the rules. It also runs parameter
// sweeps, paired comparisons and hunts for the worst day, which it then shrinks, and draws reports. docs/lab.md describes
// how reliable the results are.
package lab
