package config

import (
	"fmt"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// ConflictError means that another change to the same list or mark was accepted first.
type ConflictError struct {
	// What names the list or mark that was to be changed, for operators.
	What string
	// Base is the offset that the change was made from, Current the offset in force.
	Base, Current int64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s stands at offset %d, not at %d that the change was made from", e.What, e.Current, e.Base)
}

// RefusedError means that a record is invalid, whatever its base.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return e.Reason }

// CheckChange returns the error for which the fold would refuse a change or mark if it were the
// next record after the view: a *ConflictError or a *RefusedError. Operators' commands call it
// before they append, to report the reason without a round trip.
func CheckChange(v *View, rec *api.Record) error {
	if !validChangeID(rec.GetChangeId()) {
		return &RefusedError{Reason: fmt.Sprintf("the change id must have 1 to %d letters, digits or -_.", MaxChangeIDBytes)}
	}
	if size := proto.Size(rec); size > MaxRecordBytes {
		return &RefusedError{Reason: fmt.Sprintf("the record takes %d bytes; at most %d are accepted", size, MaxRecordBytes)}
	}
	return checkRecordBody(v, rec)
}

// checkRecordBody checks a record by the view alone. Each check that reads the view reads only the
// list or mark that the base covers. A duplicate of a refused change is therefore always refused,
// even after its verdict has been discarded: either its base is still current and nothing that it
// is checked against has changed, or it conflicts.
func checkRecordBody(v *View, rec *api.Record) error {
	switch body := rec.GetBody().(type) {
	case *api.Record_List:
		return checkList(v, body.List)
	case *api.Record_Mark:
		return checkMark(v, body.Mark)
	case *api.Record_Snapshot:
		return nil
	}
	return &RefusedError{Reason: "the record holds no list change, mark or snapshot"}
}

func checkMark(v *View, mark *api.Mark) error {
	switch mark.GetTarget() {
	case api.MarkTarget_TARGET_DOMAIN, api.MarkTarget_TARGET_VM:
	default:
		return &RefusedError{Reason: "a mark names a failure domain or a VM"}
	}
	if err := checkName(mark.GetName()); err != nil {
		return &RefusedError{Reason: "mark: " + err.Error()}
	}
	if current := v.MarkOffset(mark.GetTarget(), mark.GetName()); current != mark.GetBase() {
		return &ConflictError{What: "the mark of " + mark.GetName(), Base: mark.GetBase(), Current: current}
	}
	return nil
}

func checkList(v *View, change *api.ListChange) error {
	list := change.GetList()
	if list != api.ListName_LIST_PLANS && list != api.ListName_LIST_USES {
		return &RefusedError{Reason: "the change names no list"}
	}
	touched, err := checkSections(change)
	if err != nil {
		return &RefusedError{Reason: err.Error()}
	}
	if current := v.ListOffset(list); current != change.GetBase() {
		return &ConflictError{What: "the list", Base: change.GetBase(), Current: current}
	}
	if err := checkRemoved(v, change); err != nil {
		return &RefusedError{Reason: err.Error()}
	}
	if err := checkKeys(v, change, touched); err != nil {
		return &RefusedError{Reason: err.Error()}
	}
	return nil
}

// checkSections checks the sections without the view, and returns the section names that the change
// touches.
func checkSections(change *api.ListChange) (map[string]bool, error) {
	if len(change.GetSet()) == 0 && len(change.GetRemoved()) == 0 {
		return nil, errors.New("the change is empty")
	}
	touched := make(map[string]bool, len(change.GetSet())+len(change.GetRemoved()))
	addTouched := func(fullName string) error {
		if touched[fullName] {
			return errors.Errorf("section %q stands twice in the change", truncate(fullName))
		}
		touched[fullName] = true
		return nil
	}
	for _, section := range change.GetSet() {
		k, _, err := splitSection(change.GetList(), section.GetName())
		if err != nil {
			return nil, err
		}
		if err := checkSectionBody(k, section); err != nil {
			return nil, errors.Wrapf(err, "section %q", section.GetName())
		}
		if err := addTouched(section.GetName()); err != nil {
			return nil, err
		}
	}
	for _, fullName := range change.GetRemoved() {
		if _, _, err := splitSection(change.GetList(), fullName); err != nil {
			return nil, err
		}
		if err := addTouched(fullName); err != nil {
			return nil, err
		}
	}
	return touched, nil
}

func checkRemoved(v *View, change *api.ListChange) error {
	for _, fullName := range change.GetRemoved() {
		if !v.hasSection(fullName) {
			return errors.Errorf("section %q is removed but not in the list", fullName)
		}
	}
	return nil
}

func (v *View) hasSection(fullName string) bool {
	k, name, err := splitSection(ListOf(fullName), fullName)
	if err != nil {
		return false
	}
	var ok bool
	switch k {
	case kindCustomer:
		_, ok = v.customers[name]
	case kindPlan:
		_, ok = v.plans[name]
	case kindService:
		_, ok = v.services[name]
	case kindModel:
		_, ok = v.models[name]
	}
	return ok
}

// checkKeys refuses a key that two customers would own. Requests with that key would be charged to
// either of them at random.
func checkKeys(v *View, change *api.ListChange, touched map[string]bool) error {
	owners := make(map[string]string)
	for _, section := range change.GetSet() {
		for _, key := range section.GetCustomer().GetKeySha256() {
			if other, ok := owners[key]; ok {
				return errors.Errorf("key %s stands at %q and at %q", key, other, section.GetName())
			}
			owners[key] = section.GetName()
			owner, ok := v.keyOwners[key]
			if fullName := kindCustomer.fullName(owner); ok && !touched[fullName] {
				return errors.Errorf("key %s stands at %q and at %q", key, fullName, section.GetName())
			}
		}
	}
	return nil
}

// validChangeID reports whether an id has only the characters of a publisher's random ids. An "@"
// is not allowed because the ids made for refused records without a usable id begin with it.
func validChangeID(id string) bool {
	if id == "" || len(id) > MaxChangeIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}
