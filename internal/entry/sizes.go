package entry

import "sync"

// sizes knows how many tokens requests for each offer usually ask for, so that one that
// asks for many more is not placed where it cannot end in time.
type sizes struct {
	mu    sync.Mutex
	usual map[string]float64
}

// sizeWeight is how little one request moves the usual size.
const sizeWeight = 64

// ratio returns a request's size over the usual one and takes it into account; 0 for a
// request that names no bound.
func (s *sizes) ratio(offer string, tokens float64) float64 {
	if tokens <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	usual, ok := s.usual[offer]
	if !ok {
		usual = tokens
	}
	s.usual[offer] = usual + (tokens-usual)/sizeWeight
	return tokens / usual
}
