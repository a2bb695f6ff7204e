// Package adminapi defines the JSON messages between the operators' commands and the admin address
// of a process. Package admin serves them, package adminclient sends them.
package adminapi

import (
	"fmt"
	"strings"
	"time"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/result"
)

// Paths of the admin address.
const (
	PathLists   = "/v1/lists/"
	PathChanges = "/v1/changes/"
	PathMarks   = "/v1/marks"
	PathStatus  = "/v1/status"
	PathDump    = "/debug/state"
	PathMetrics = "/metrics"
	PathReady   = "/ready"
)

// MaxWait limits how long one request may wait for a change.
const MaxWait = time.Minute

// Names of the two lists, in paths and on the command line.
const (
	ListPlans = "plans"
	ListUses  = "uses"
)

// Targets of marks, in requests and on the command line.
const (
	TargetDomain = "domain"
	TargetVM     = "vm"
)

// ParseListName returns the list with the given name, or LIST_UNSPECIFIED.
func ParseListName(name string) api.ListName {
	switch name {
	case ListPlans:
		return api.ListName_LIST_PLANS
	case ListUses:
		return api.ListName_LIST_USES
	}
	return api.ListName_LIST_UNSPECIFIED
}

// ListName is the inverse of [ParseListName].
func ListName(list api.ListName) string {
	switch list {
	case api.ListName_LIST_PLANS:
		return ListPlans
	case api.ListName_LIST_USES:
		return ListUses
	}
	return ""
}

// ParseTarget returns the mark target with the given name, or TARGET_UNSPECIFIED.
func ParseTarget(name string) api.MarkTarget {
	switch name {
	case TargetDomain:
		return api.MarkTarget_TARGET_DOMAIN
	case TargetVM:
		return api.MarkTarget_TARGET_VM
	}
	return api.MarkTarget_TARGET_UNSPECIFIED
}

// TargetName is the inverse of [ParseTarget].
func TargetName(target api.MarkTarget) string {
	switch target {
	case api.MarkTarget_TARGET_DOMAIN:
		return TargetDomain
	case api.MarkTarget_TARGET_VM:
		return TargetVM
	}
	return ""
}

// List is a list in force.
type List struct {
	// Offset of the accepted change that the list comes from; -1 if never published.
	Offset int64 `json:"offset"`
	// Text is the list as INI.
	Text string `json:"text"`
	// Author and ChangeID identify the change at Offset, while the process still keeps them.
	Author   string `json:"author,omitempty"`
	ChangeID string `json:"change_id,omitempty"`
}

// PublishRequest replaces a list.
type PublishRequest struct {
	// Base is the offset of the list that was edited; -1 for a list that was never published.
	Base   int64  `json:"base"`
	Author string `json:"author"`
	// ChangeID is a random id chosen by the publisher. Repeating a change with the same id does not
	// make a second change.
	ChangeID string `json:"change_id"`
	Text     string `json:"text"`
}

// MarkRequest takes a failure domain or VM out of service, or brings it back.
type MarkRequest struct {
	// Target is domain or vm.
	Target string `json:"target"`
	Name   string `json:"name"`
	Out    bool   `json:"out"`
	// Base is the offset of the mark that the operator saw; null accepts any current mark.
	Base     *int64 `json:"base"`
	Author   string `json:"author"`
	ChangeID string `json:"change_id"`
}

// State is the progress of a change.
type State string

// The states of a change, in order. Refused and Unchanged are final.
const (
	// Pending: the record may or may not be in the log; there is no verdict yet.
	Pending State = "pending"
	// Unchanged: the list in force already has this content; nothing was appended.
	Unchanged State = "unchanged"
	// Refused: the fold refused the change; the verdict gives the reason.
	Refused State = "refused"
	// Accepted: the change is final; it is never lost or reverted.
	Accepted State = "accepted"
	// InForce: every live process has applied the change.
	InForce State = "in_force"
)

// stateOrder gives the order in which a change passes through its states.
var stateOrder = map[State]int{Pending: 0, Accepted: 1, InForce: 2, Unchanged: 3, Refused: 3}

// Reached reports whether a change in state s need not be waited for any longer to reach the wanted
// state.
func (s State) Reached(wanted State) bool { return stateOrder[s] >= stateOrder[wanted] }

// Change reports the progress of a change.
type Change struct {
	ChangeID string `json:"change_id"`
	// Offset of the record; -1 while it is not known.
	Offset int64 `json:"offset"`
	State  State `json:"state"`
	// Missing names the VMs of live processes that have not confirmed that they applied the
	// change, at most 50 of them; MissingMore counts the others.
	Missing     []string `json:"missing"`
	MissingMore int      `json:"missing_more,omitempty"`
	Verdict     *Verdict `json:"verdict,omitempty"`
}

// MissingSummary lists the VMs that have not confirmed that they applied the change, as text.
func (c *Change) MissingSummary() string {
	text := strings.Join(c.Missing, ", ")
	if c.MissingMore > 0 {
		text += fmt.Sprintf(" and %d more", c.MissingMore)
	}
	return text
}

// Verdict is what the fold decided on a change.
type Verdict struct {
	Accepted bool   `json:"accepted"`
	Offset   int64  `json:"offset"`
	Author   string `json:"author"`
	// Current is the offset that was in force in place of the base.
	Current int64 `json:"current"`
	// Reason says why a record is refused that is invalid in itself, rather than in conflict.
	Reason string `json:"reason,omitempty"`
}

// Failure is the body of an error response. The other fields are set for a conflict and for a
// change that could not be confirmed.
type Failure struct {
	Error result.Detail `json:"error"`
	// Current is the offset in force; Author and ChangeID identify its change.
	Current  *int64 `json:"current,omitempty"`
	Author   string `json:"author,omitempty"`
	ChangeID string `json:"change_id,omitempty"`
	// Change is the progress of the change.
	Change *Change `json:"change,omitempty"`
	// Faults lists the errors found in a list, with line numbers.
	Faults []string `json:"faults,omitempty"`
}
