package entry

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/admin"
	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/clock"
	"github.com/apricothub/apricothub/internal/platform"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/settings"
)

// operators serves the admin interface: it shows the entry's state and accepts changes. It
// implements admin.Process and admin.Configuration.
type operators struct{ entry *entry }

func (e *entry) serveAdmin(ctx context.Context) error {
	o := operators{e}
	listen := e.settings.GetListen()
	handler := admin.Handler(o, o, listen.GetAdminToken())
	return admin.Serve(ctx, listen.GetAdmin(), handler, e.logger)
}

// Status implements admin.Process.
func (o operators) Status(context.Context) (*adminapi.Status, error) {
	e := o.entry
	status := e.node.AdminStatus()
	status.Backends = e.directory.backends()
	var vms []platform.VM
	if e.settings.GetLink().GetAgentsPerOffer() == 0 {
		// With links to a subset of agents, a coordinator outside it is not missing.
		vms = e.node.State().VMs
	}
	status.Groups = e.directory.groups(clock.Now(), vms)
	return status, nil
}

// Dump implements admin.Process.
func (o operators) Dump(ctx context.Context) ([]admin.DumpPart, error) {
	e := o.entry
	status, err := o.Status(ctx)
	if err != nil {
		return nil, err
	}
	return []admin.DumpPart{
		{Name: "settings", Value: settings.Redacted(e.settings)},
		{Name: "status", Value: status},
		{Name: "gate", Value: e.gate.dump()},
		{Name: "placement", Value: e.directory.dump()},
		{Name: "links", Value: e.links.dump()},
		{Name: "keys", Value: e.keys.dump()},
		{Name: "requests", Value: e.journal.Dump(clock.Now())},
	}, nil
}

// Ready implements admin.Process.
func (o operators) Ready() error {
	state, err := o.entry.servingState()
	if err == nil && !state.Linked {
		return result.New(api.ResultCode_STARTING, "The links to the other VMs do not stand yet.")
	}
	return err
}

// Metrics implements admin.Process.
func (o operators) Metrics() metrics.Registry { return o.entry.registry }

// List implements admin.Configuration.
func (o operators) List(list api.ListName) admin.ListInForce {
	offset, sections, origin := o.entry.node.List(list)
	return admin.ListInForce{
		Offset:   offset,
		Sections: sections,
		Author:   origin.GetAuthor(),
		ChangeID: origin.GetChangeId(),
	}
}

// Mark implements admin.Configuration.
func (o operators) Mark(target api.MarkTarget, name string) *api.MarkState {
	for _, mark := range o.entry.node.State().View.Marks() {
		if mark.GetTarget() == target && mark.GetName() == name {
			return mark
		}
	}
	return &api.MarkState{Target: target, Name: name, Offset: -1}
}

// Append implements admin.Configuration.
func (o operators) Append(ctx context.Context, record *api.Record) error {
	if err := checkRecord(o.entry.node.State().View, record); err != nil {
		return err
	}
	data, err := proto.Marshal(record)
	if err != nil {
		return result.New(api.ResultCode_BAD_LIST, err.Error())
	}
	if _, err := o.entry.platform.Append(ctx, data); err != nil {
		// Only the answer may be lost: the record may be in the log.
		unknown := result.New(api.ResultCode_LOG_UNAVAILABLE, err.Error())
		unknown.Ran = api.Ran_RAN_UNKNOWN
		return unknown
	}
	return nil
}

// checkRecord returns the error with which all members would reject a record, before it takes space
// in the log. A base newer than this entry has applied is no conflict: the entry is behind, and the
// log decides.
func checkRecord(view *config.View, record *api.Record) error {
	err := config.CheckChange(view, record)
	var conflict *config.ConflictError
	if errors.As(err, &conflict) && conflict.Base > conflict.Current {
		return nil
	}
	return err
}

// Change implements admin.Configuration.
func (o operators) Change(changeID string) adminapi.Change {
	progress := o.entry.node.Change(changeID)
	change := adminapi.Change{ChangeID: changeID, Offset: -1, State: adminapi.Pending}
	verdict := progress.Verdict
	if verdict == nil {
		return change
	}
	change.Offset = verdict.GetOffset()
	change.Missing = progress.Missing
	change.Verdict = &adminapi.Verdict{
		Accepted: verdict.GetAccepted(),
		Offset:   verdict.GetOffset(),
		Author:   verdict.GetAuthor(),
		Current:  verdict.GetCurrent(),
		Reason:   verdict.GetReason(),
	}
	switch {
	case !verdict.GetAccepted():
		change.State = adminapi.Refused
	case progress.State == config.Accepted:
		change.State = adminapi.Accepted
	case progress.State == config.InForce:
		change.State = adminapi.InForce
	}
	return change
}
