package admin

import (
	"context"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/adminapi"
)

// Process is what every process provides to its admin interface. The methods are called
// concurrently.
type Process interface {
	// Status returns the state of the system as this process knows it.
	Status(ctx context.Context) (*adminapi.Status, error)
	// Dump returns the state of the process in named parts. It must not include keys, tokens or the
	// text of requests; settings go through settings.Redacted.
	Dump(ctx context.Context) ([]DumpPart, error)
	// Ready returns nil while the process accepts new work, otherwise the reason why it does not.
	Ready() error
	// Metrics returns the registry that /metrics serves.
	Metrics() metrics.Registry
}

// DumpPart is one part of a dump. Value is encoded as JSON; a protobuf message is encoded by
// protojson with the field names of the schema.
type DumpPart struct {
	Name  string
	Value any
}

// Configuration is what an entry provides for publishing lists and marks.
type Configuration interface {
	// List returns the list as applied by this process.
	List(list api.ListName) ListInForce
	// Mark returns the mark as applied by this process, with offset -1 for a target that was never
	// marked.
	Mark(target api.MarkTarget, name string) *api.MarkState
	// Append appends the record to the platform's log. An error with Ran unknown means that the
	// record may or may not have been appended; the same record with the same change_id may then be
	// appended again. A *config.ConflictError or a *config.RefusedError means that the record was
	// not appended, since every member would refuse it.
	Append(ctx context.Context, record *api.Record) error
	// Change returns the progress of a change. State is Pending, and Offset -1, for a change_id
	// that no applied record carries. This process decides whether a change is Accepted or InForce
	// by what it knows of the other members.
	Change(changeID string) adminapi.Change
}

// ListInForce is one list as applied by a process.
type ListInForce struct {
	// Offset of the accepted change that the list comes from; -1 if never published.
	Offset   int64
	Sections []*api.Section
	// Author and ChangeID identify that change, while the process still keeps them.
	Author   string
	ChangeID string
}
