package place

// RetryBudget bounds second attempts to a part of the first ones.
//
// Load: many backend servers that refuse or fail at once. Harm prevented: the
// retry storm, in which each failure makes more load and so more failures. With
// a tenth, retries add at most 10% however bad things are.
type RetryBudget struct {
	// Ratio is the number of retries that each first attempt earns. Zero means
	// the default 0.1.
	Ratio float64
	// Reserve is the number of retries that may be saved up, and that a new
	// budget begins with. Zero means the default 10: a lone failure at low load
	// is tried again.
	Reserve  float64
	tokens   float64
	isFilled bool
}

// CountRequest counts a first attempt.
func (b *RetryBudget) CountRequest() {
	b.fillOnFirstUse()
	b.tokens = min(b.tokens+b.ratio(), b.reserve())
}

// CanRetry says whether one more attempt may be made, and leaves the budget as it is.
func (b *RetryBudget) CanRetry() bool {
	b.fillOnFirstUse()
	return b.tokens >= 1
}

// SpendRetry says whether one more attempt may be made, and takes it off the budget.
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
