package config

import (
	"slices"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
)

// Snapshot returns the whole state, the same at every process that has applied as
// much. Its parts are shared with the fold and must not be changed.
func (f *Fold) Snapshot() *api.Snapshot {
	view := f.peek()
	return &api.Snapshot{
		Through: f.applied,
		Lists: []*api.ListState{
			listState(view, api.ListName_LIST_PLANS),
			listState(view, api.ListName_LIST_USES),
		},
		Marks:    view.Marks(),
		Verdicts: slices.Clone(f.verdicts.order),
	}
}

func listState(view *View, list api.ListName) *api.ListState {
	return &api.ListState{List: list, Offset: view.ListOffset(list), Sections: view.Sections(list)}
}

// Load replaces the state by a snapshot's. It only goes forward: an older snapshot
// gives ErrOlder, one that cannot be a fold's ErrBadSnapshot, and the fold is left
// as it was. The snapshot is copied.
func (f *Fold) Load(s *api.Snapshot) error {
	if s.GetThrough() < f.applied {
		return errors.Wrapf(ErrOlder, "through %d, applied %d", s.GetThrough(), f.applied)
	}
	if s.GetThrough() == f.applied {
		return nil
	}
	loaded := NewFold()
	if err := loaded.fill(proto.CloneOf(s)); err != nil {
		return errors.Wrap(ErrBadSnapshot, err.Error())
	}
	*f = *loaded
	return nil
}

func (f *Fold) fill(s *api.Snapshot) error {
	f.applied = s.GetThrough()
	f.snapshot = s.GetThrough()
	for _, list := range s.GetLists() {
		if err := f.fillList(list); err != nil {
			return err
		}
	}
	if err := f.fillMarks(s.GetMarks()); err != nil {
		return err
	}
	return f.fillVerdicts(s.GetVerdicts())
}

// fillList takes a list in by the checks that a first publish of it would pass.
func (f *Fold) fillList(list *api.ListState) error {
	if list.GetOffset() < nothing || list.GetOffset() > f.applied {
		return errors.Errorf("list at offset %d", list.GetOffset())
	}
	if len(list.GetSections()) == 0 {
		return f.fillEmptyList(list)
	}
	change := &api.ListChange{List: list.GetList(), Base: nothing, Set: list.GetSections()}
	if err := checkList(f.peek(), change); err != nil {
		return err
	}
	if list.GetOffset() == nothing {
		return errors.New("list with sections that was never published")
	}
	f.takeList(list.GetOffset(), change)
	return nil
}

func (f *Fold) fillEmptyList(list *api.ListState) error {
	switch list.GetList() {
	case api.ListName_LIST_PLANS:
		f.plansAt = list.GetOffset()
	case api.ListName_LIST_USES:
		f.usesAt = list.GetOffset()
	default:
		return errors.New("list without a name")
	}
	return nil
}

func (f *Fold) fillMarks(marks []*api.MarkState) error {
	for _, mark := range marks {
		first := &api.Mark{Target: mark.GetTarget(), Name: mark.GetName(), Out: mark.GetOut(), Base: nothing}
		if err := checkMark(f.peek(), first); err != nil {
			return err
		}
		if mark.GetOffset() < 0 || mark.GetOffset() > f.applied {
			return errors.Errorf("mark at offset %d", mark.GetOffset())
		}
		f.marks.edit()[markKey{mark.GetTarget(), mark.GetName()}] = mark
	}
	return nil
}

func (f *Fold) fillVerdicts(all []*api.Verdict) error {
	if len(all) > MaxVerdicts {
		return errors.Errorf("%d verdicts", len(all))
	}
	before := nothing
	for _, verdict := range all {
		if verdict.GetOffset() <= before || verdict.GetOffset() > f.applied {
			return errors.Errorf("verdict at offset %d after %d", verdict.GetOffset(), before)
		}
		before = verdict.GetOffset()
		if _, known := f.verdicts.get(verdict.GetChangeId()); known || verdict.GetChangeId() == "" {
			return errors.Errorf("verdict on %q twice or without an id", clip(verdict.GetChangeId()))
		}
		f.verdicts.add(verdict)
	}
	return nil
}
