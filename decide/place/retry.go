package place

// RetryBudget limits retries to a ratio of the first attempts.
//
// When many backend servers refuse or fail requests at once, each failure would otherwise cause
// more load and so more failures (a retry storm). With a ratio of 0.1, retries add at most 10% of
// load.
type RetryBudget struct {
	// Ratio is the number of retries that each first attempt adds. Zero means the default 0.1.
	Ratio float64
	// Reserve is the number of retries that may be saved up, and that a new budget starts with.
	// Zero means the default 10, so that a single failure at low load is retried.
	Reserve  float64
	tokens   float64
	isFilled bool
}

// CountRequest counts a first attempt.
func (b *RetryBudget) CountRequest() {
	b.fillOnFirstUse()
	b.tokens = min(b.tokens+b.ratio(), b.reserve())
}

// CanRetry reports whether a retry may be made, without changing the budget.
func (b *RetryBudget) CanRetry() bool {
	b.fillOnFirstUse()
	return b.tokens >= 1
}

// SpendRetry reports whether a retry may be made, and deducts it from the budget.
func (b *RetryBudget) SpendRetry() bool {
	if !b.CanRetry() {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) fillOnFirstUse() {
	if !b.isFilled {
		b.isFilled = true
		b.tokens = b.reserve()
	}
}

func (b *RetryBudget) ratio() float64 {
	if b.Ratio <= 0 {
		return 0.1
	}
	return b.Ratio
}

func (b *RetryBudget) reserve() float64 {
	if b.Reserve <= 0 {
		return 10
	}
	return b.Reserve
}
