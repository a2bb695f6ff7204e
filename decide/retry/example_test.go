package retry_test

import (
	"fmt"
	"time"

	"github.com/apricothub/apricothub/decide/retry"
)

// Ten requests earn one retry where a fifth may be sent again. A second one needs a claim on the reserve,
// which the caller writes to the shared ledger if nothing has changed there.
func ExampleBudget() {
	limits := retry.Limits{Ratio: 0.2, Reserve: 90, Window: 10 * time.Second}
	budget, ledger := retry.NewBudget(limits), retry.NewLedger(limits)
	for range 10 {
		budget.CountRequest(0)
	}
	_, first := budget.Spend(0)
	_, second := budget.Spend(0)
	fmt.Println(first, second)

	const claimID = 1
	claims, tokens := ledger.Draw(nil, claimID, 1, 0)
	budget.AddClaim(tokens, retry.ClaimLifetime)
	_, claimed := budget.Spend(0)
	fmt.Println(len(claims), claimed)
	// Output:
	// true false
	// 1 true
}
