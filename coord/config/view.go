package config

import (
	"cmp"
	"slices"

	"github.com/apricothub/apricothub/api"
)

// markKey identifies the target of a mark.
type markKey struct {
	target api.MarkTarget
	name   string
}

// View is the configuration after the record at one offset. It is immutable; the messages that it
// returns are shared and must not be changed.
type View struct {
	applied     int64
	plansOffset int64
	usesOffset  int64
	customers   map[string]*api.Customer
	keyOwners   map[string]string // SHA-256 of a key, in hex, to the customer's name
	plans       map[string]*api.Plan
	services    map[string]*api.Service
	models      map[string]*api.Model
	marks       map[markKey]*api.MarkState
}

// Applied returns the last offset applied, -1 for none.
func (v *View) Applied() int64 { return v.applied }

// ListOffset returns the offset of the accepted change that made the current version of a list, -1
// for a list that was never published.
func (v *View) ListOffset(list api.ListName) int64 {
	switch list {
	case api.ListName_LIST_PLANS:
		return v.plansOffset
	case api.ListName_LIST_USES:
		return v.usesOffset
	}
	return -1
}

// MarkOffset returns the offset of the newest mark of a target, -1 for none.
func (v *View) MarkOffset(target api.MarkTarget, name string) int64 {
	if mark, ok := v.marks[markKey{target, name}]; ok {
		return mark.GetOffset()
	}
	return -1
}

// CustomerByKey returns the customer that owns the key with this SHA-256, in
// lower-case hex.
func (v *View) CustomerByKey(sha256hex string) (string, *api.Customer, bool) {
	name, ok := v.keyOwners[sha256hex]
	if !ok {
		return "", nil, false
	}
	return name, v.customers[name], true
}

// Plan returns the plan of this name.
func (v *View) Plan(name string) (*api.Plan, bool) {
	plan, ok := v.plans[name]
	return plan, ok
}

// Service returns the plain service of this name.
func (v *View) Service(name string) (*api.Service, bool) {
	service, ok := v.services[name]
	return service, ok
}

// Model returns the model of this name.
func (v *View) Model(name string) (*api.Model, bool) {
	model, ok := v.models[name]
	return model, ok
}

// Customers returns all customers by name. The map must not be changed.
func (v *View) Customers() map[string]*api.Customer { return v.customers }

// Plans returns all plans by name. The map must not be changed.
func (v *View) Plans() map[string]*api.Plan { return v.plans }

// Services returns all plain services by name. The map must not be changed.
func (v *View) Services() map[string]*api.Service { return v.services }

// Models returns all models by name. The map must not be changed.
func (v *View) Models() map[string]*api.Model { return v.models }

// VMOutOfService reports whether operators have taken a VM or its failure domain out of service.
func (v *View) VMOutOfService(vm, failureDomain string) bool {
	return v.isMarkedOut(api.MarkTarget_TARGET_VM, vm) || v.isMarkedOut(api.MarkTarget_TARGET_DOMAIN, failureDomain)
}

func (v *View) isMarkedOut(target api.MarkTarget, name string) bool {
	return v.marks[markKey{target, name}].GetOut()
}

// Marks returns all marks by target and name, including those that returned a target to service.
func (v *View) Marks() []*api.MarkState {
	marks := make([]*api.MarkState, 0, len(v.marks))
	for _, mark := range v.marks {
		marks = append(marks, mark)
	}
	slices.SortFunc(marks, func(a, b *api.MarkState) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Name, b.Name))
	})
	return marks
}

// Sections returns the sections of a list by name. It sorts on each call, which is too slow for the
// request path at thousands of sections.
func (v *View) Sections(list api.ListName) []*api.Section {
	var sections []*api.Section
	switch list {
	case api.ListName_LIST_PLANS:
		sections = make([]*api.Section, 0, len(v.customers))
		for name, body := range v.customers {
			sections = append(sections, &api.Section{Name: kindCustomer.fullName(name), Body: &api.Section_Customer{Customer: body}})
		}
	case api.ListName_LIST_USES:
		sections = make([]*api.Section, 0, len(v.plans)+len(v.services)+len(v.models))
		for name, body := range v.plans {
			sections = append(sections, &api.Section{Name: kindPlan.fullName(name), Body: &api.Section_Plan{Plan: body}})
		}
		for name, body := range v.services {
			sections = append(sections, &api.Section{Name: kindService.fullName(name), Body: &api.Section_Service{Service: body}})
		}
		for name, body := range v.models {
			sections = append(sections, &api.Section{Name: kindModel.fullName(name), Body: &api.Section_Model{Model: body}})
		}
	}
	slices.SortFunc(sections, func(a, b *api.Section) int { return cmp.Compare(a.Name, b.Name) })
	return sections
}
