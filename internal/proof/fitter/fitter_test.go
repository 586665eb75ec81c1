package fitter

import (
	"math"
	"testing"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

func assertNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9 {
		t.Fatalf("%s is %g, want %g", what, got, want)
	}
}

func TestFitFindsTheLine(t *testing.T) {
	line, err := Fit([]Point{{1, 5}, {2, 7}, {4, 11}})
	if err != nil {
		t.Fatal(err)
	}
	assertNear(t, "slope", line.Slope, 2)
	assertNear(t, "intercept", line.Intercept, 3)
	assertNear(t, "residual", line.Residual, 0)
}

func TestFitReturnsTheResidual(t *testing.T) {
	line, err := Fit([]Point{{1, 1}, {2, -1}, {3, -1}, {4, 1}})
	if err != nil {
		t.Fatal(err)
	}
	assertNear(t, "slope", line.Slope, 0)
	assertNear(t, "residual", line.Residual, 1)
}

func TestFitNeedsThreePointsOfDifferentSizes(t *testing.T) {
	for _, points := range [][]Point{{{1, 1}, {2, 2}}, {{1, 1}, {1, 2}, {1, 3}}} {
		if _, err := Fit(points); !errs.Is(err, errs.Invalid) {
			t.Fatalf("got error %v, want one of kind Invalid", err)
		}
	}
}
