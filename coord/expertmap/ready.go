package expertmap

import "github.com/apricothub/apricothub/api"

// Envelope is a message to the agent or the coordinator on a VM.
type Envelope struct {
	To      string
	Message *api.GroupMessage
}

// Order tells an engine which steps it may run. The fence is the ballot, for engines that check it.
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

// Ready holds the pending actions. They may be carried out concurrently, but the orders to one
// engine must keep their order.
type Ready struct {
	Messages []Envelope
	// Reads lists engines whose state is to be read back, for Agent.EngineStateRead.
	Reads []int
	// Loads are requested once for each connection to an engine. The caller retries until it calls
	// Agent.MapLoaded or Agent.EngineDown, or until Agent.LoadFailed returns false because the map
	// is no longer needed.
	Loads []LoadRequest
	// Orders are answered with Agent.OrderDone or Agent.OrderRefused.
	Orders []Order
}

// Empty reports whether there are no actions.
func (r Ready) Empty() bool {
	return len(r.Messages)+len(r.Reads)+len(r.Loads)+len(r.Orders) == 0
}
