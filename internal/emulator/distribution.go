package emulator

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat/distuv"
)

// Distribution describes a probability distribution of a given mean by its kind and its coefficient of variation.
type Distribution struct {
	Kind string  `toml:"kind"` // one of DistributionKinds; "": fixed
	CV   float64 `toml:"cv"`   // standard deviation divided by the mean; 1 for exponential
}

// DistributionKinds lists the values of Distribution.Kind.
var DistributionKinds = []string{"fixed", "exponential", "gamma", "lognormal", "uniform", "weibull", "pareto"}

// maxCV holds the largest coefficient of variation by kind. Above it the distribution does not exist, or a day has too
// few draws to show its mean.
var maxCV = map[string]float64{"gamma": 10, "lognormal": 10, "uniform": 1 / math.Sqrt(3), "weibull": 5, "pareto": 5}

// Check returns an error if the kind is unknown or does not allow the coefficient of variation.
func (s Distribution) Check() error {
	kind := s.kindOrFixed()
	if !slices.Contains(DistributionKinds, kind) {
		return fmt.Errorf("kind %q: must be one of %s", s.Kind, strings.Join(DistributionKinds, ", "))
	}
	limit, varies := maxCV[kind]
	switch {
	case math.IsNaN(s.CV) || s.CV < 0:
		return fmt.Errorf("cv = %v: must be 0 or more", s.CV)
	case !varies && s.CV != 0 && !(kind == "exponential" && s.CV == 1):
		return fmt.Errorf("cv = %v: must be left out, the variation of %q is fixed", s.CV, kind)
	case varies && (s.CV <= 0 || s.CV > limit):
		return fmt.Errorf("cv = %v: must be more than 0 and at most %.3g for %q", s.CV, limit, kind)
	}
	return nil
}

// kindOrFixed returns the kind, which is "fixed" by default.
func (s Distribution) kindOrFixed() string {
	if s.Kind == "" {
		return "fixed"
	}
	return s.Kind
}

// Varies reports whether draws differ from the mean.
func (s Distribution) Varies() bool { return s.kindOrFixed() != "fixed" }

// Factor returns a function that draws factors with a mean of 1 from the named stream. The distribution must have
// passed Check.
func (s Distribution) Factor(streams Streams, streamName string) func() float64 {
	source := streams.source(streamName)
	cv2 := s.CV * s.CV
	switch s.kindOrFixed() {
	case "exponential":
		return distuv.Exponential{Rate: 1, Src: source}.Rand
	case "gamma": // variance alpha/beta^2 with a mean of alpha/beta = 1
		return distuv.Gamma{Alpha: 1 / cv2, Beta: 1 / cv2, Src: source}.Rand
	case "lognormal":
		v := math.Log1p(cv2)
		return distuv.LogNormal{Mu: -v / 2, Sigma: math.Sqrt(v), Src: source}.Rand
	case "uniform":
		half := s.CV * math.Sqrt(3)
		return distuv.Uniform{Min: 1 - half, Max: 1 + half, Src: source}.Rand
	case "weibull":
		k := weibullShape(s.CV)
		return distuv.Weibull{K: k, Lambda: 1 / math.Gamma(1+1/k), Src: source}.Rand
	case "pareto": // cv^2 = 1/(alpha (alpha-2)); the mean is alpha/(alpha-1) times the minimum
		alpha := 1 + math.Sqrt(1+1/cv2)
		return distuv.Pareto{Xm: (alpha - 1) / alpha, Alpha: alpha, Src: source}.Rand
	}
	return func() float64 { return 1 }
}

// weibullShape returns the shape parameter of the Weibull distribution with a coefficient of variation, by bisection:
// the coefficient decreases as the shape grows.
func weibullShape(cv float64) float64 {
	cvOfShape := func(k float64) float64 {
		g := math.Gamma(1 + 1/k)
		return math.Sqrt(math.Gamma(1+2/k)/(g*g) - 1)
	}
	low, high := 0.15, 60.0
	for range 100 {
		mid := math.Sqrt(low * high)
		if cvOfShape(mid) > cv {
			low = mid
		} else {
			high = mid
		}
	}
	return math.Sqrt(low * high)
}
