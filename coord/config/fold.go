package config

import (
	"fmt"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

var (
	// ErrGap says that a record was offered before those that come before it.
	ErrGap = errors.New("record beyond the next offset")
	// ErrOlder says that a snapshot would take the fold back.
	ErrOlder = errors.New("snapshot older than the fold")
	// ErrBadSnapshot says that a snapshot cannot be the state of any fold.
	ErrBadSnapshot = errors.New("snapshot damaged")
)

// noOffset is the offset before the first record.
const noOffset = int64(-1)

// MaxMarks bounds the marks kept: past it, the oldest mark that brought its target
// back is forgotten, and its target is as one that was never marked. Marks that
// hold a target out are never forgotten.
const MaxMarks = 8192

// Fold is the state that the records of the log give, applied in order. It is
// deterministic: equal records give equal state, snapshots and verdicts at every
// process.
type Fold struct {
	applied      int64
	plansOffset  int64
	usesOffset   int64
	customers    copyOnWrite[string, *api.Customer]
	keyOwners    copyOnWrite[string, string]
	plans        copyOnWrite[string, *api.Plan]
	services     copyOnWrite[string, *api.Service]
	models       copyOnWrite[string, *api.Model]
	marks        copyOnWrite[markKey, *api.MarkState]
	verdicts     *verdicts
	lastSnapshot int64 // offset of the newest snapshot seen in the log
	view         *View // nil once something changed
}

// NewFold returns the fold of no record.
func NewFold() *Fold {
	return &Fold{applied: noOffset, plansOffset: noOffset, usesOffset: noOffset, lastSnapshot: noOffset, verdicts: newVerdicts()}
}

// Applied returns the last offset folded in, -1 for none.
func (f *Fold) Applied() int64 { return f.applied }

// LastSnapshot returns the offset of the newest snapshot in the log, as far as this
// process can tell, -1 for none. It is no part of the state: see SnapshotDue.
func (f *Fold) LastSnapshot() int64 { return f.lastSnapshot }

// Verdict returns what was decided on a change. The newest 4096 are kept.
func (f *Fold) Verdict(changeID string) (*api.Verdict, bool) { return f.verdicts.get(changeID) }

// VerdictAt returns what was decided on the record at an offset: it tells who made
// the list or the mark that stands. The newest 4096 are kept.
func (f *Fold) VerdictAt(offset int64) (*api.Verdict, bool) { return f.verdicts.atOffset(offset) }

// View returns the configuration in force. It is the same until the next record.
func (f *Fold) View() *View {
	if f.view == nil {
		f.view = &View{
			applied:   f.applied,
			plansAt:   f.plansOffset,
			usesAt:    f.usesOffset,
			customers: f.customers.share(),
			owners:    f.keyOwners.share(),
			plans:     f.plans.share(),
			services:  f.services.share(),
			models:    f.models.share(),
			marks:     f.marks.share(),
		}
	}
	return f.view
}

// unsharedView is View without sharing: for a look that ends before the next change.
func (f *Fold) unsharedView() *View {
	return &View{
		applied:   f.applied,
		plansAt:   f.plansOffset,
		usesAt:    f.usesOffset,
		customers: f.customers.entries,
		owners:    f.keyOwners.entries,
		plans:     f.plans.entries,
		services:  f.services.entries,
		models:    f.models.entries,
		marks:     f.marks.entries,
	}
}

// Apply folds the record at an offset, a marshalled api.Record. The offset must be
// the next one: an earlier one is ignored, a later one gives ErrGap and changes
// nothing. A record that cannot be read or is wrong gets a refused verdict, never
// an error: a log that holds one would otherwise stop every process.
func (f *Fold) Apply(offset int64, data []byte) error {
	if offset <= f.applied {
		return nil
	}
	if offset > f.applied+1 {
		return errors.Wrapf(ErrGap, "offset %d after %d", offset, f.applied)
	}
	f.applied = offset
	f.view = nil
	rec := &api.Record{}
	if err := proto.Unmarshal(data, rec); err != nil {
		// The text of err differs between builds on purpose, so it stays out.
		f.refuse(offset, &api.Record{}, "the record cannot be read")
		return nil
	}
	f.evaluate(offset, rec, len(data))
	return nil
}

// evaluate gives the verdict on a record and changes the state if it is accepted.
func (f *Fold) evaluate(offset int64, rec *api.Record, size int) {
	if rec.GetSnapshot() != nil {
		// Folding from the start has all that a snapshot says.
		f.lastSnapshot = offset
		return
	}
	if !validChangeID(rec.GetChangeId()) {
		f.refuse(offset, rec, "the change id is missing or malformed")
		return
	}
	if _, known := f.verdicts.get(rec.GetChangeId()); known {
		// The publisher lost the answer to its append and appended again. The first
		// verdict stands; judged anew, its own success would read as a conflict.
		return
	}
	if size > MaxRecordBytes {
		f.refuse(offset, rec, fmt.Sprintf("the record takes more than %d bytes", MaxRecordBytes))
		return
	}
	verdict := &api.Verdict{ChangeId: rec.GetChangeId(), Offset: offset, Author: truncate(rec.GetAuthor())}
	err := checkRecordBody(f.unsharedView(), rec)
	var conflict *ConflictError
	switch {
	case err == nil:
		verdict.Accepted = true
		verdict.Current = offset
		f.applyAccepted(offset, rec)
	case errors.As(err, &conflict):
		verdict.Current = conflict.Current
	default:
		verdict.Reason = err.Error()
	}
	f.verdicts.add(verdict)
}

// refuse keeps the verdict on a record that is wrong in itself. One without a
// usable id is found under "@" and its offset.
func (f *Fold) refuse(offset int64, rec *api.Record, reason string) {
	id := rec.GetChangeId()
	if !validChangeID(id) {
		id = fmt.Sprintf("@%d", offset)
	}
	f.verdicts.add(&api.Verdict{ChangeId: id, Offset: offset, Author: truncate(rec.GetAuthor()), Reason: reason})
}

// applyAccepted changes the state by an accepted record.
func (f *Fold) applyAccepted(offset int64, rec *api.Record) {
	switch body := rec.GetBody().(type) {
	case *api.Record_List:
		f.applyList(offset, body.List)
	case *api.Record_Mark:
		f.applyMark(offset, body.Mark)
	}
}

func (f *Fold) applyMark(offset int64, mark *api.Mark) {
	marks := f.marks.edit()
	marks[markKey{mark.GetTarget(), mark.GetName()}] = &api.MarkState{
		Target: mark.GetTarget(),
		Name:   mark.GetName(),
		Out:    mark.GetOut(),
		Offset: offset,
	}
	if len(marks) > MaxMarks {
		deleteOldestInService(marks)
	}
}

// deleteOldestInService drops the oldest mark that holds nothing out.
func deleteOldestInService(marks map[markKey]*api.MarkState) {
	var oldest *api.MarkState
	for _, mark := range marks {
		if !mark.GetOut() && (oldest == nil || mark.GetOffset() < oldest.GetOffset()) {
			oldest = mark
		}
	}
	if oldest != nil {
		delete(marks, markKey{oldest.GetTarget(), oldest.GetName()})
	}
}

func (f *Fold) applyList(offset int64, change *api.ListChange) {
	if change.GetList() == api.ListName_LIST_PLANS {
		f.plansOffset = offset
	} else {
		f.usesOffset = offset
	}
	// Keys move between customers in one change, so all old ones go first.
	for _, section := range change.GetSet() {
		f.removeSection(section.GetName())
	}
	for _, fullName := range change.GetRemoved() {
		f.removeSection(fullName)
	}
	for _, section := range change.GetSet() {
		f.addSection(section)
	}
}

// removeSection removes a section, if it is there. Its name was checked.
func (f *Fold) removeSection(fullName string) {
	k, name, _ := splitSection(ListOf(fullName), fullName)
	switch k {
	case kindCustomer:
		owners := f.keyOwners.edit()
		for _, key := range f.customers.entries[name].GetKeySha256() {
			delete(owners, key)
		}
		delete(f.customers.edit(), name)
	case kindPlan:
		delete(f.plans.edit(), name)
	case kindService:
		delete(f.services.edit(), name)
	case kindModel:
		delete(f.models.edit(), name)
	}
}

// addSection adds a section. It was checked.
func (f *Fold) addSection(section *api.Section) {
	_, name, _ := splitSection(ListOf(section.GetName()), section.GetName())
	switch body := section.GetBody().(type) {
	case *api.Section_Customer:
		f.customers.edit()[name] = body.Customer
		owners := f.keyOwners.edit()
		for _, key := range body.Customer.GetKeySha256() {
			owners[key] = name
		}
	case *api.Section_Plan:
		f.plans.edit()[name] = body.Plan
	case *api.Section_Service:
		f.services.edit()[name] = body.Service
	case *api.Section_Model:
		f.models.edit()[name] = body.Model
	}
}
