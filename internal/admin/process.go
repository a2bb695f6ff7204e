package admin

import (
	"context"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/adminapi"
)

// Process is what every process shows to operators. The methods are called from
// many goroutines.
type Process interface {
	// Status tells what the process knows of the system.
	Status(ctx context.Context) (*adminapi.Status, error)
	// Dump gives the process's state in named parts. Keys, tokens and callers'
	// text stay out of it; settings go through settings.Redacted.
	Dump(ctx context.Context) ([]DumpPart, error)
	// Ready is nil while the process takes new work, or says why it does not.
	Ready() error
	// Metrics is the registry that /metrics shows.
	Metrics() metrics.Registry
}

// DumpPart is one part of a dump. Value is written as JSON; protobuf messages in
// the schema's own form.
type DumpPart struct {
	Name  string
	Value any
}

// Configuration is what an entry offers for publishing.
type Configuration interface {
	// List is the list as applied here.
	List(list api.ListName) ListInForce
	// Mark is the mark as applied here; offset -1 for a target never marked.
	Mark(target api.MarkTarget, name string) *api.MarkState
	// Append puts the record into the platform's log. An error of which it is
	// not known whether the record was appended has Ran unknown; the same
	// record, with the same change_id, may then be appended again. A
	// *config.ConflictError or a *config.RefusedError says that the record was
	// not appended, since every member would refuse it.
	Append(ctx context.Context, record *api.Record) error
	// Change tells how far a change has come. State is Pending, and Offset -1,
	// for a change_id that no applied record carries. Accepted and InForce are
	// for this process to judge, by what it knows of the other members.
	Change(changeID string) adminapi.Change
}

// ListInForce is one list as applied by a process.
type ListInForce struct {
	// Offset of the accepted change that made it; -1 if never published.
	Offset   int64
	Sections []*api.Section
	// Author and ChangeID name that change, while they are remembered.
	Author   string
	ChangeID string
}
