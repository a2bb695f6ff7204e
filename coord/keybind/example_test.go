package keybind_test

import (
	"fmt"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/keybind"
)

// Two entries bind one key at the same time, each to its own ticket. Every reader of the stream
// finds the first binding.
func Example() {
	key := keybind.KeyOf("north", "order 17")
	request := keybind.RequestOf("POST", "/push", "1.99")
	fold := keybind.NewFold()
	for seq := range uint32(2) {
		ticket := &api.Ticket{AgentVm: "vm-1", Incarnation: "i", Seq: seq}
		binding := &api.KeyBinding{Key: key[:], Request: request[:], Ticket: ticket}
		// Neither entry had read the other's record, so both name the base 0.
		record, _ := keybind.EncodeRecord([]*api.KeyBinding{binding}, 0, -1, 1)
		_, _ = fold.Apply(fold.Next(), record)
	}
	bound, _ := fold.Lookup(key)
	ticket, _ := bound.DecodeTicket()
	fmt.Println(ticket.GetSeq(), bound.Request == request)
	// Output: 0 true
}
