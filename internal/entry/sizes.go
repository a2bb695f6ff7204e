package entry

import "sync"

// sizeTracker keeps a moving average of the tokens that requests for each offer ask for, so that a
// request for many more is not placed where it cannot end in time.
type sizeTracker struct {
	mu       sync.Mutex
	averages map[string]float64
}

// sizeSmoothing is the divisor of the moving average: a request moves it by 1/64 of the difference.
const sizeSmoothing = 64

// relativeSize returns a request's size relative to the average and updates the average; 0 for a
// request without a token limit.
func (s *sizeTracker) relativeSize(offer string, tokens float64) float64 {
	if tokens <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	average, ok := s.averages[offer]
	if !ok {
		average = tokens
	}
	s.averages[offer] = average + (tokens-average)/sizeSmoothing
	return tokens / average
}
