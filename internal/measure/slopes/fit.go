package slopes

import "math"

// leastSquares returns the coefficients of the columns of x that fit y with the least squared
// error, by the normal equations. A column that does not contribute gets zero.
func leastSquares(x [][]float64, y []float64) []float64 {
	n := len(x[0])
	m := make([][]float64, n)
	for i := range m {
		m[i] = make([]float64, n+1)
		for r, row := range x {
			for j := range n {
				m[i][j] += row[i] * row[j]
			}
			m[i][n] += row[i] * y[r]
		}
	}
	eliminate(m)
	coefficients := make([]float64, n)
	for i := range m {
		coefficients[i] = m[i][n]
	}
	return coefficients
}

// eliminate solves the linear equations in place.
func eliminate(m [][]float64) {
	for i := range m {
		pivotRow := i
		for r := i + 1; r < len(m); r++ {
			if math.Abs(m[r][i]) > math.Abs(m[pivotRow][i]) {
				pivotRow = r
			}
		}
		m[i], m[pivotRow] = m[pivotRow], m[i]
		pivot := m[i][i]
		if math.Abs(pivot) < 1e-12 {
			m[i][len(m)] = 0
			continue
		}
		for j := range m[i] {
			m[i][j] /= pivot
		}
		for r := range m {
			if r == i {
				continue
			}
			factor := m[r][i]
			for j := range m[r] {
				m[r][j] -= factor * m[i][j]
			}
		}
	}
}

// fitLine fits a line to y over x and returns its base and slope.
func fitLine(x, y []float64) (base, slope float64) {
	rows := make([][]float64, len(x))
	for i := range x {
		rows[i] = []float64{1, x[i]}
	}
	c := leastSquares(rows, y)
	return c[0], c[1]
}
