package settings

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/apricothub/apricothub/api"
)

// Kinds of sections: the first word of a section's name, and the name of the field in
// [api.Section].
const (
	kindCustomer = "customer"
	kindPlan     = "plan"
	kindService  = "service"
	kindModel    = "model"
)

// Parse parses one of the two lists; name is the file name in error messages.
func Parse(list api.ListName, name string, text []byte) ([]*api.Section, error) {
	switch list {
	case api.ListName_LIST_PLANS:
		return ParsePlans(name, text)
	case api.ListName_LIST_USES:
		return ParseUses(name, text)
	}
	return nil, errors.Errorf("no list %v", list)
}

// ParsePlans parses the plans list: sections [customer NAME].
func ParsePlans(name string, text []byte) ([]*api.Section, error) {
	l := parseList(name, text, kindCustomer)
	l.checkUniqueKeys()
	return l.result()
}

// ParseUses parses the uses list: sections [plan NAME], [service NAME] and [model NAME].
func ParseUses(name string, text []byte) ([]*api.Section, error) {
	l := parseList(name, text, kindPlan, kindService, kindModel)
	l.checkReferences()
	return l.result()
}

// list is a list that is being parsed.
type list struct {
	faults   *faultList
	sections []*api.Section
	// scanned holds the scanned section of each name, for line numbers.
	scanned map[string]section
}

func parseList(file string, text []byte, kinds ...string) *list {
	l := &list{faults: &faultList{file: file}, scanned: map[string]section{}}
	for _, from := range scan(text, l.faults) {
		kind, name, _ := strings.Cut(from.name, " ")
		if !slices.Contains(kinds, kind) || name == "" {
			l.faults.add(from.line, from.name, "", "unknown section; the list has [%s NAME]", strings.Join(kinds, " NAME], ["))
			continue
		}
		if err := checkName(name); err != nil {
			l.faults.add(from.line, from.name, "", "%v", err)
			continue
		}
		if _, twice := l.scanned[from.name]; twice {
			continue
		}
		l.scanned[from.name] = from
		into := &api.Section{Name: from.name}
		message := into.ProtoReflect()
		body := message.Descriptor().Fields().ByName(protoreflect.Name(kind))
		decode(from, message.Mutable(body).Message(), l.faults)
		l.sections = append(l.sections, into)
	}
	return l
}

func (l *list) result() ([]*api.Section, error) {
	if err := l.faults.err(); err != nil {
		return nil, err
	}
	return l.sections, nil
}

// addFault adds a fault at the line of a key, or of its section if the key is absent.
func (l *list) addFault(name, keyName, format string, args ...any) {
	line := l.scanned[name].line
	for _, k := range l.scanned[name].keys {
		if k.name == keyName {
			line = k.line
		}
	}
	l.faults.add(line, name, keyName, format, args...)
}

// checkUniqueKeys rejects a key that two customers share: requests with it would be charged to an
// arbitrary one of them.
func (l *list) checkUniqueKeys() {
	owner := map[string]string{}
	for _, s := range l.sections {
		for _, hash := range s.GetCustomer().GetKeySha256() {
			if other, ok := owner[hash]; ok {
				l.addFault(s.GetName(), "key-sha256", "the key %s… belongs to [%s] as well", hash[:8], other)
			}
			owner[hash] = s.GetName()
		}
	}
}

// checkReferences rejects a plan that names a service, model or adapter that no section of the
// list defines.
func (l *list) checkReferences() {
	known := map[string]bool{}
	adaptersByModel := map[string]map[string]bool{}
	for _, s := range l.sections {
		known[s.GetName()] = true
		if s.GetModel() != nil {
			_, model, _ := strings.Cut(s.GetName(), " ")
			adaptersByModel[model] = setOf(s.GetModel().GetAdapters())
		}
	}
	for _, s := range l.sections {
		plan := s.GetPlan()
		l.checkSectionsExist(s.GetName(), "models", kindModel, plan.GetModels(), known)
		l.checkSectionsExist(s.GetName(), "services", kindService, plan.GetServices(), known)
		for _, adapter := range plan.GetAdapters() {
			if !anyModelHasAdapter(adapter, plan.GetModels(), adaptersByModel) {
				l.addFault(s.GetName(), "adapters", "none of the plan's models carries the adapter %q", adapter)
			}
		}
	}
}

func (l *list) checkSectionsExist(plan, key, kind string, names []string, known map[string]bool) {
	for _, name := range names {
		if !known[kind+" "+name] {
			l.addFault(plan, key, "the list has no section [%s %s]", kind, name)
		}
	}
}

func anyModelHasAdapter(adapter string, models []string, adaptersByModel map[string]map[string]bool) bool {
	for _, model := range models {
		if adaptersByModel[model][adapter] {
			return true
		}
	}
	return false
}

// CheckAcrossLists returns a warning for each customer whose plan is not defined in the uses list:
// the customer's requests would be refused. The lists are published one after the other, so this
// is not an error.
func CheckAcrossLists(plans, uses []*api.Section) []string {
	known := map[string]bool{}
	for _, s := range uses {
		known[s.GetName()] = true
	}
	var warnings []string
	for _, s := range plans {
		plan := s.GetCustomer().GetPlan()
		if !known[kindPlan+" "+plan] {
			warnings = append(warnings, "["+s.GetName()+"] has the plan "+plan+", which the uses list does not describe")
		}
	}
	return warnings
}

func setOf(items []string) map[string]bool {
	in := make(map[string]bool, len(items))
	for _, item := range items {
		in[item] = true
	}
	return in
}
