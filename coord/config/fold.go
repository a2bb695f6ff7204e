package config

import (
	"fmt"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

var (
	// ErrGap means that a record was applied before those that precede it.
	ErrGap = errors.New("record after the next offset")
	// ErrOlder means that a snapshot would take the fold back.
	ErrOlder = errors.New("snapshot older than the fold")
	// ErrBadSnapshot means that a snapshot cannot be the state of any fold.
	ErrBadSnapshot = errors.New("damaged snapshot")
)

// noOffset is the offset before the first record.
const noOffset = int64(-1)

// MaxMarks limits the number of marks kept. Above it, the oldest mark that returned its target to
// service is discarded, and the target counts as never marked. Marks that keep a target out of
// service are never discarded.
const MaxMarks = 8192

// Fold is the state that results from applying the records of the log in order. It is
// deterministic: equal records give equal state, snapshots and verdicts in every process.
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
	view         *View // cached, nil after a change
}

// NewFold returns a fold with no record applied.
func NewFold() *Fold {
	return &Fold{applied: noOffset, plansOffset: noOffset, usesOffset: noOffset, lastSnapshot: noOffset, verdicts: newVerdicts()}
}

// Applied returns the last offset applied, -1 for none.
func (f *Fold) Applied() int64 { return f.applied }

// LastSnapshot returns the offset of the newest snapshot in the log that this process knows of, -1
// for none. It is not part of the replicated state: see SnapshotDue.
func (f *Fold) LastSnapshot() int64 { return f.lastSnapshot }

// Verdict returns the verdict on a change. The newest 4096 are kept.
func (f *Fold) Verdict(changeID string) (*api.Verdict, bool) { return f.verdicts.get(changeID) }

// VerdictAt returns the verdict on the record at an offset. It tells who made the current list or
// mark. The newest 4096 are kept.
func (f *Fold) VerdictAt(offset int64) (*api.Verdict, bool) { return f.verdicts.atOffset(offset) }

// View returns the configuration in force. It returns the same View until the next record is
// applied.
func (f *Fold) View() *View {
	if f.view == nil {
		f.view = &View{
			applied:     f.applied,
			plansOffset: f.plansOffset,
			usesOffset:  f.usesOffset,
			customers:   f.customers.share(),
			keyOwners:   f.keyOwners.share(),
			plans:       f.plans.share(),
			services:    f.services.share(),
			models:      f.models.share(),
			marks:       f.marks.share(),
		}
	}
	return f.view
}

// unsharedView returns a View that does not mark the maps as shared. It must not be used after the
// next change.
func (f *Fold) unsharedView() *View {
	return &View{
		applied:     f.applied,
		plansOffset: f.plansOffset,
		usesOffset:  f.usesOffset,
		customers:   f.customers.entries,
		keyOwners:   f.keyOwners.entries,
		plans:       f.plans.entries,
		services:    f.services.entries,
		models:      f.models.entries,
		marks:       f.marks.entries,
	}
}

// Apply applies the record at an offset, a marshalled api.Record. The offset must be the next one:
// an earlier one is ignored, a later one returns ErrGap and changes nothing. A record that is
// invalid or cannot be decoded gets a refused verdict instead of an error, because an error would
// stop every process that reads the log.
func (f *Fold) Apply(offset int64, data []byte) error {
	if offset <= f.applied {
		return nil
	}
	if offset > f.applied+1 {
		return errors.Wrapf(ErrGap, "record at offset %d, applied offset is %d", offset, f.applied)
	}
	f.applied = offset
	f.view = nil
	rec := &api.Record{}
	if err := proto.Unmarshal(data, rec); err != nil {
		// The text of err differs between builds on purpose. It stays out of the reason, which must
		// be the same in every process.
		f.refuse(offset, &api.Record{}, "the record cannot be read")
		return nil
	}
	f.evaluate(offset, rec, len(data))
	return nil
}

// evaluate gives the verdict on a record and changes the state if the record is accepted.
func (f *Fold) evaluate(offset int64, rec *api.Record, size int) {
	if rec.GetSnapshot() != nil {
		// The fold already holds everything that the snapshot contains.
		f.lastSnapshot = offset
		return
	}
	if !validChangeID(rec.GetChangeId()) {
		f.refuse(offset, rec, "the change id is missing or malformed")
		return
	}
	if _, known := f.verdicts.get(rec.GetChangeId()); known {
		// The publisher lost the answer to its append and appended again. The first
		// verdict stands. Evaluated again, the accepted change would conflict with itself.
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

// refuse records the verdict on an invalid record. A record without a usable id is stored under "@"
// and its offset.
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

// deleteOldestInService deletes the oldest mark whose target is in service.
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
	// One change can move keys between customers, so the old ones are removed first.
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

// removeSection removes a section if it exists. The name must be valid.
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

// addSection adds a section that has been checked.
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
