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
	stats    RetryStats
}

// RetryStats counts what a RetryBudget has been used for.
type RetryStats struct {
	// Requests counts first attempts, Spent retries and Denied those that were not made for lack of budget.
	Requests, Spent, Denied int64
}

// Stats returns what the budget has been used for.
func (b *RetryBudget) Stats() RetryStats { return b.stats }

// CountRequest counts a first attempt.
func (b *RetryBudget) CountRequest() {
	b.fillOnFirstUse()
	b.tokens = min(b.tokens+b.ratio(), b.reserve())
	b.stats.Requests++
}

// CanRetry reports whether a retry may be made, without changing the budget.
func (b *RetryBudget) CanRetry() bool {
	b.fillOnFirstUse()
	return b.tokens >= 1
}

// HasSpare reports whether a retry may be made that is of use but not needed to answer the request:
// half of the reserve stays for those that are.
func (b *RetryBudget) HasSpare() bool {
	b.fillOnFirstUse()
	return b.tokens >= max(1, b.reserve()/2)
}

// SpendRetry reports whether a retry may be made, and deducts it from the budget.
func (b *RetryBudget) SpendRetry() bool {
	if !b.CanRetry() {
		b.stats.Denied++
		return false
	}
	b.tokens--
	b.stats.Spent++
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
