package response

import "testing"

func TestCheckStatus(t *testing.T) {
	for _, c := range []struct {
		status         int
		interim, final bool
	}{
		{0, false, false},
		{99, false, false},
		{100, true, false},
		{101, false, false},
		{103, true, false},
		{199, true, false},
		{200, false, true},
		{421, false, true},
		{599, false, true},
		{600, false, false},
		{999, false, false},
		{1000, false, false},
		{-1, false, false},
	} {
		if got := IsInterim(c.status); got != c.interim {
			t.Errorf("status %d: interim %v, want %v", c.status, got, c.interim)
		}
		if err := CheckStatus(c.status); (err == nil) != c.final {
			t.Errorf("status %d: error %v, want final %v", c.status, err, c.final)
		}
	}
}
