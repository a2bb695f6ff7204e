package config

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"github.com/apricothub/apricothub/api"
)

// Limits of a change. They are part of the fold: processes with different limits would reach
// different verdicts. They therefore don't depend on settings, and a change of one must reach all
// processes at once.
const (
	// MaxRecordBytes is the largest change or mark that the fold accepts. The whole
	// plans list at 7,300 customers takes about 1 MB.
	MaxRecordBytes = 8 << 20
	// MaxNameBytes limits the name of a section or of a mark's target.
	MaxNameBytes = 128
	// MaxChangeIDBytes limits a change id.
	MaxChangeIDBytes = 64

	sha256HexLen = 64
)

// sectionKind is the first word of a section name.
type sectionKind string

const (
	kindCustomer sectionKind = "customer"
	kindPlan     sectionKind = "plan"
	kindService  sectionKind = "service"
	kindModel    sectionKind = "model"
)

// fullName returns the section name for a name of this kind.
func (k sectionKind) fullName(name string) string { return string(k) + " " + name }

// list returns the list that sections of this kind belong to.
func (k sectionKind) list() api.ListName {
	switch k {
	case kindCustomer:
		return api.ListName_LIST_PLANS
	case kindPlan, kindService, kindModel:
		return api.ListName_LIST_USES
	}
	return api.ListName_LIST_UNSPECIFIED
}

// ListOf returns the list that holds sections of this name, LIST_UNSPECIFIED for an unknown kind.
func ListOf(section string) api.ListName {
	kindName, _, _ := strings.Cut(section, " ")
	return sectionKind(kindName).list()
}

// splitSection splits a section name into kind and name, and checks that it is valid in a list.
func splitSection(list api.ListName, fullName string) (sectionKind, string, error) {
	kindName, name, found := strings.Cut(fullName, " ")
	k := sectionKind(kindName)
	switch {
	case !found || k.list() == api.ListName_LIST_UNSPECIFIED:
		return "", "", errors.Errorf("section %q: a name reads customer, plan, service or model, and then the name", truncate(fullName))
	case k.list() != list:
		return "", "", errors.Errorf("section %q does not belong in this list", truncate(fullName))
	}
	if err := checkName(name); err != nil {
		return "", "", errors.Wrapf(err, "section %q", truncate(fullName))
	}
	return k, name, nil
}

// checkName refuses names that cannot be written to a list and read back.
func checkName(name string) error {
	switch {
	case name == "":
		return errors.New("the name is empty")
	case len(name) > MaxNameBytes:
		return errors.Errorf("the name is longer than %d bytes", MaxNameBytes)
	case !utf8.ValidString(name):
		return errors.New("the name is not UTF-8")
	}
	for _, r := range name {
		if unicode.IsControl(r) || unicode.IsSpace(r) || r == '[' || r == ']' {
			return errors.Errorf("the name holds %q", r)
		}
	}
	return nil
}

// checkSectionBody checks that the body of a section is valid and is of the kind that the section's
// name begins with.
func checkSectionBody(k sectionKind, section *api.Section) error {
	switch body := section.GetBody().(type) {
	case *api.Section_Customer:
		if k == kindCustomer && body.Customer != nil {
			return checkCustomer(body.Customer)
		}
	case *api.Section_Plan:
		if k == kindPlan && body.Plan != nil {
			return checkNumber("share", body.Plan.GetShare())
		}
	case *api.Section_Service:
		if k == kindService && body.Service != nil {
			return checkCount("timeout_ms", body.Service.GetTimeoutMs())
		}
	case *api.Section_Model:
		if k == kindModel && body.Model != nil {
			return nil
		}
	}
	return errors.Errorf("it holds no %s", k)
}

func checkCustomer(customer *api.Customer) error {
	if len(customer.GetKeySha256()) == 0 {
		return errors.New("the customer has no key")
	}
	for _, key := range customer.GetKeySha256() {
		if !isSHA256Hex(key) {
			return errors.Errorf("key %q is not a SHA-256 in lower-case hex", truncate(key))
		}
	}
	if err := checkName(customer.GetPlan()); err != nil {
		return errors.Wrap(err, "plan")
	}
	if err := checkNumber("weight", customer.GetWeight()); err != nil {
		return err
	}
	if err := checkNumber("rate", customer.GetRate()); err != nil {
		return err
	}
	return checkCount("burst", customer.GetBurst())
}

// maxValue is above every limit in the schema. It keeps infinities and values whose sums overflow
// out of shares.
const maxValue = 1e12

// checkNumber refuses values that would make every share they are summed into invalid. NaN fails
// both comparisons.
func checkNumber(field string, value float64) error {
	if value >= 0 && value <= maxValue {
		return nil
	}
	return errors.Errorf("%s is %v; it must be a number of 0 or more", field, value)
}

func checkCount(field string, value int64) error {
	if value >= 0 && value <= maxValue {
		return nil
	}
	return errors.Errorf("%s is %d; it must be 0 or more", field, value)
}

func isSHA256Hex(text string) bool {
	if len(text) != sha256HexLen {
		return false
	}
	for _, c := range []byte(text) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// truncate limits the length of texts from a record in verdicts and errors.
func truncate(text string) string {
	const maxBytes = 64
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes], "") + "..."
}
