package subset

import (
	"fmt"
	"testing"
)

// Each key must be held by k names, also after one of them has gone, and the names must share the keys.
func TestIsChosen(t *testing.T) {
	const n, k, keys = 40, 3, 2000
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("10.0.0.", i))
	}
	held := make(map[string]int)
	for key := range uint64(keys) {
		chosen, moved := 0, 0
		for _, name := range names {
			isChosen := IsChosen(key, name, names, k)
			if isChosen {
				chosen++
				held[name]++
			}
			if name != names[0] && isChosen != IsChosen(key, name, names[1:], k) {
				moved++
			}
		}
		if chosen != k || moved > 1 {
			t.Fatalf("key %d: %d names are chosen, want %d; without one name, %d others change", key, chosen, k, moved)
		}
	}
	for name, count := range held {
		if mean := k * keys / n; count < mean/2 || count > 2*mean {
			t.Errorf("%s holds %d keys, the mean is %d", name, count, mean)
		}
	}
}
