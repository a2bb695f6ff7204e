package ticket_test

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/apricothub/apricothub/coord/ticket"
)

// An agent grants a block, an entry mints a ticket, and the request arrives twice: it runs
// once, and the second copy joins the answer of the first.
func Example() {
	// A real process uses a random key that is new at each start.
	ledger := ticket.NewLedger("vm-1", "incarnation-1", make([]byte, 32), ticket.Limits{})
	minter := ticket.NewMinter()

	now := time.Second
	minter.Add(now, ledger.Grant(now))
	t, _ := minter.Mint(now, "vm-1", "north")

	request := sha256.Sum256([]byte("POST /push 1.99"))
	for range 2 {
		decision := ledger.Begin(now, t, "north", request, "answer-1")
		fmt.Println(decision.Action, decision.AnswerID)
	}
	other := sha256.Sum256([]byte("POST /push 2.99"))
	fmt.Println(ledger.Begin(now, t, "north", other, "answer-2").Code)

	// A ticket that was never presented is voided before the caller is told "not run".
	unused, _ := minter.Mint(now, "vm-1", "north")
	fmt.Println(ledger.Settle(now, unused, "north").Ran)
	// Output:
	// run answer-1
	// join answer-1
	// TICKET_REUSED
	// RAN_NO
}
