package expertmap

import "github.com/apricothub/apricothub/api"

// Envelope is a message to the agent or the coordinator on a VM.
type Envelope struct {
	To      string
	Message *api.GroupMessage
}

// Order tells an engine which steps it may run. The fence is the ballot, for engines
// that check it.
type Order struct {
	Engine int
	Fence  uint64
	Ranges []Range
}

// LoadRequest tells an engine to load the weights of a map.
type LoadRequest struct {
	Engine int
	Map    uint64
}

// Ready is what is to be done. The parts may be done at the same time, but the orders
// to one engine stay in their order.
type Ready struct {
	Messages []Envelope
	// Reads names engines whose state is to be read back, for Agent.EngineRead.
	Reads []int
	// Loads are asked for once for each connection to an engine; whoever carries
	// them out tries again until Agent.MapLoaded or Agent.EngineDown, or until
	// Agent.LoadFailed says that nobody needs the map any more.
	Loads []LoadRequest
	// Orders are answered with Agent.OrderDone or Agent.OrderRefused.
	Orders []Order
}

// Empty says that nothing is to be done.
func (r Ready) Empty() bool {
	return len(r.Messages)+len(r.Reads)+len(r.Loads)+len(r.Orders) == 0
}
