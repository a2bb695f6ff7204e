package slopes

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	x := [][]float64{{1, 5, 2}, {1, 13, 4}, {1, 23, 8}, {1, 40, 9}}
	want := []float64{7, 3, -2}
	y := make([]float64, len(x))
	for i, row := range x {
		for j, c := range want {
			y[i] += c * row[j]
		}
	}
	for j, got := range leastSquares(x, y) {
		if math.Abs(got-want[j]) > 1e-6 {
			t.Errorf("coefficient %d is %v, want %v", j, got, want[j])
		}
	}
}

func TestLine(t *testing.T) {
	base, slope := fitLine([]float64{1, 2, 4}, []float64{12, 14, 18})
	if math.Abs(base-10) > 1e-6 || math.Abs(slope-2) > 1e-6 {
		t.Errorf("got %v + %v x", base, slope)
	}
}
