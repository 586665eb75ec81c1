// Package fitter measures the costs of the control plane at several sizes, fits a line to each measure, and estimates the
// cost at the sizes of the design target.
package fitter

import (
	"math"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

const minPoints = 3

type (
	// Point is one measured value at one size.
	Point struct {
		Size  float64
		Value float64
	}

	// Line is a least-squares fit. Residual is the root mean square of the vertical distances of the points from it.
	Line struct {
		Slope     float64
		Intercept float64
		Residual  float64
	}
)

// Fit returns the least-squares line through at least three points. It returns an error of kind Invalid if there are fewer
// or if all have the same size.
func Fit(points []Point) (Line, error) {
	if len(points) < minPoints {
		return Line{}, errs.New(errs.Invalid, "a fit needs at least %d points, got %d", minPoints, len(points))
	}
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	spread := n*sxx - sx*sx
	if spread == 0 {
		return Line{}, errs.New(errs.Invalid, "a fit needs points of different sizes, got only one size")
	}
	line := Line{Slope: (n*sxy - sx*sy) / spread}
	line.Intercept = (sy - line.Slope*sx) / n
	var squares float64
	for _, p := range points {
		distance := p.Value - line.At(p.Size)
		squares += distance * distance
	}
	line.Residual = math.Sqrt(squares / n)
	return line, nil
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 {
	return l.Intercept + l.Slope*size
}
