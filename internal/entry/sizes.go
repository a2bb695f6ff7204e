package entry

import "sync"

// sizeTracker knows how many tokens requests for each offer usually ask for, so that one that
// asks for many more is not placed where it cannot end in time.
type sizeTracker struct {
	mu       sync.Mutex
	averages map[string]float64
}

// sizeSmoothing is how little one request moves the usual size.
const sizeSmoothing = 64

// relativeSize returns a request's size over the usual one and takes it into account; 0 for a
// request that names no bound.
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
