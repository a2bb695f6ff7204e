package config

import (
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// Snapshot returns the whole replicated state. It is the same in every process that has applied the
// same records. Its parts are shared with the fold and must not be changed.
func (f *Fold) Snapshot() *api.Snapshot {
	view := f.unsharedView()
	return &api.Snapshot{
		Through: f.applied,
		Lists: []*api.ListState{
			listState(view, api.ListName_LIST_PLANS),
			listState(view, api.ListName_LIST_USES),
		},
		Marks:    view.Marks(),
		Verdicts: slices.Clone(f.verdicts.ordered),
	}
}

func listState(view *View, list api.ListName) *api.ListState {
	return &api.ListState{List: list, Offset: view.ListOffset(list), Sections: view.Sections(list)}
}

// Load replaces the state by that of a snapshot, which it copies. A snapshot older than the fold
// returns ErrOlder, one that cannot be the state of any fold ErrBadSnapshot. The fold is unchanged
// then.
func (f *Fold) Load(s *api.Snapshot) error {
	if s.GetThrough() < f.applied {
		return errors.Wrapf(ErrOlder, "snapshot ends at offset %d, applied offset is %d", s.GetThrough(), f.applied)
	}
	if s.GetThrough() == f.applied {
		return nil
	}
	loaded := NewFold()
	if err := loaded.loadAll(proto.CloneOf(s)); err != nil {
		return errors.Wrap(ErrBadSnapshot, err.Error())
	}
	*f = *loaded
	return nil
}

func (f *Fold) loadAll(s *api.Snapshot) error {
	f.applied = s.GetThrough()
	f.lastSnapshot = s.GetThrough()
	for _, list := range s.GetLists() {
		if err := f.loadList(list); err != nil {
			return err
		}
	}
	if err := f.loadMarks(s.GetMarks()); err != nil {
		return err
	}
	return f.loadVerdicts(s.GetVerdicts())
}

// loadList loads a list with the checks that its first publication would have to pass.
func (f *Fold) loadList(list *api.ListState) error {
	if list.GetOffset() < noOffset || list.GetOffset() > f.applied {
		return errors.Errorf("list has invalid offset %d", list.GetOffset())
	}
	if len(list.GetSections()) == 0 {
		return f.loadEmptyList(list)
	}
	change := &api.ListChange{List: list.GetList(), Base: noOffset, Set: list.GetSections()}
	if err := checkList(f.unsharedView(), change); err != nil {
		return err
	}
	if list.GetOffset() == noOffset {
		return errors.New("list has sections but no offset")
	}
	f.applyList(list.GetOffset(), change)
	return nil
}

func (f *Fold) loadEmptyList(list *api.ListState) error {
	switch list.GetList() {
	case api.ListName_LIST_PLANS:
		f.plansOffset = list.GetOffset()
	case api.ListName_LIST_USES:
		f.usesOffset = list.GetOffset()
	default:
		return errors.New("list has no known name")
	}
	return nil
}

func (f *Fold) loadMarks(marks []*api.MarkState) error {
	for _, mark := range marks {
		change := &api.Mark{Target: mark.GetTarget(), Name: mark.GetName(), Out: mark.GetOut(), Base: noOffset}
		if err := checkMark(f.unsharedView(), change); err != nil {
			return err
		}
		if mark.GetOffset() < 0 || mark.GetOffset() > f.applied {
			return errors.Errorf("mark has invalid offset %d", mark.GetOffset())
		}
		f.marks.edit()[markKey{mark.GetTarget(), mark.GetName()}] = mark
	}
	return nil
}

func (f *Fold) loadVerdicts(verdicts []*api.Verdict) error {
	if len(verdicts) > MaxVerdicts {
		return errors.Errorf("too many verdicts: %d", len(verdicts))
	}
	previousOffset := noOffset
	for _, verdict := range verdicts {
		if verdict.GetOffset() <= previousOffset || verdict.GetOffset() > f.applied {
			return errors.Errorf("verdict has offset %d, out of order after %d or beyond the snapshot", verdict.GetOffset(), previousOffset)
		}
		previousOffset = verdict.GetOffset()
		if _, known := f.verdicts.get(verdict.GetChangeId()); known || verdict.GetChangeId() == "" {
			return errors.Errorf("verdict on change id %q is a duplicate or has no id", truncate(verdict.GetChangeId()))
		}
		f.verdicts.add(verdict)
	}
	return nil
}
