package emulator

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat/distuv"
)

// Spread says how draws vary around their mean.
type Spread struct {
	Kind string  `toml:"kind"` // one of Kinds; "": fixed
	CV   float64 `toml:"cv"`   // standard deviation over mean; exponential has 1
}

// Kinds of spread.
var Kinds = []string{"fixed", "exponential", "gamma", "lognormal", "uniform", "weibull", "pareto"}

// bounds of a variation by kind: beyond them there is no such distribution, or none whose mean a day could show.
var cvMost = map[string]float64{"gamma": 10, "lognormal": 10, "uniform": 1 / math.Sqrt(3), "weibull": 5, "pareto": 5}

// Check says what is wrong with a spread, if anything.
func (s Spread) Check() error {
	kind := s.kind()
	if !slices.Contains(Kinds, kind) {
		return fmt.Errorf("kind %q: one of %s is right", s.Kind, strings.Join(Kinds, ", "))
	}
	most, varies := cvMost[kind]
	switch {
	case math.IsNaN(s.CV) || s.CV < 0:
		return fmt.Errorf("cv = %v: 0 or more is right", s.CV)
	case !varies && s.CV != 0 && !(kind == "exponential" && s.CV == 1):
		return fmt.Errorf("cv = %v: %q has a variation of its own", s.CV, kind)
	case varies && (s.CV <= 0 || s.CV > most):
		return fmt.Errorf("cv = %v: more than 0 and %.3g at most is right for %q", s.CV, most, kind)
	}
	return nil
}

func (s Spread) kind() string {
	if s.Kind == "" {
		return "fixed"
	}
	return s.Kind
}

// Varies says whether draws differ at all.
func (s Spread) Varies() bool { return s.kind() != "fixed" }

// Factor makes a source of draws with a mean of 1 from a part's stream. The spread has been checked.
func (s Spread) Factor(streams Streams, part string) func() float64 {
	src := streams.source(part)
	cv2 := s.CV * s.CV
	switch s.kind() {
	case "exponential":
		return distuv.Exponential{Rate: 1, Src: src}.Rand
	case "gamma": // variance alpha/beta^2 with a mean of alpha/beta = 1
		return distuv.Gamma{Alpha: 1 / cv2, Beta: 1 / cv2, Src: src}.Rand
	case "lognormal":
		v := math.Log1p(cv2)
		return distuv.LogNormal{Mu: -v / 2, Sigma: math.Sqrt(v), Src: src}.Rand
	case "uniform":
		half := s.CV * math.Sqrt(3)
		return distuv.Uniform{Min: 1 - half, Max: 1 + half, Src: src}.Rand
	case "weibull":
		k := weibullShape(s.CV)
		return distuv.Weibull{K: k, Lambda: 1 / math.Gamma(1+1/k), Src: src}.Rand
	case "pareto": // cv^2 = 1/(alpha (alpha-2)); the mean is alpha/(alpha-1) times the least
		alpha := 1 + math.Sqrt(1+1/cv2)
		return distuv.Pareto{Xm: (alpha - 1) / alpha, Alpha: alpha, Src: src}.Rand
	}
	return func() float64 { return 1 }
}

// weibullShape finds the shape whose variation it is, which falls as the shape grows, by halving.
func weibullShape(cv float64) float64 {
	of := func(k float64) float64 {
		g := math.Gamma(1 + 1/k)
		return math.Sqrt(math.Gamma(1+2/k)/(g*g) - 1)
	}
	low, high := 0.15, 60.0
	for range 100 {
		mid := math.Sqrt(low * high)
		if of(mid) > cv {
			low = mid
		} else {
			high = mid
		}
	}
	return math.Sqrt(low * high)
}
