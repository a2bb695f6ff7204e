// Package adminapi holds the JSON messages between operators' commands and the
// admin address of a process. Package admin serves them, package adminclient
// sends them.
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

// MaxWait bounds the time that one request may wait for a change.
const MaxWait = time.Minute

// Names of the two lists, in paths and on the command line.
const (
	ListPlans = "plans"
	ListUses  = "uses"
)

// Kinds of marks.
const (
	TargetDomain = "domain"
	TargetVM     = "vm"
)

// ParseListName gives the list of a name; LIST_UNSPECIFIED for none.
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

// ParseTarget gives the kind of a mark; TARGET_UNSPECIFIED for none.
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

// List is a list as in force.
type List struct {
	// Offset of the accepted change that made it; -1 if never published.
	Offset int64 `json:"offset"`
	// Text is the list as INI.
	Text string `json:"text"`
	// Author and ChangeID name the change at Offset, while they are remembered.
	Author   string `json:"author,omitempty"`
	ChangeID string `json:"change_id,omitempty"`
}

// PublishRequest replaces a list.
type PublishRequest struct {
	// Base is the offset of the list that the edit was made from; -1 for a list
	// that was never published.
	Base   int64  `json:"base"`
	Author string `json:"author"`
	// ChangeID is random and chosen by the publisher. Sending the same change
	// again under the same id does not make a second change.
	ChangeID string `json:"change_id"`
	Text     string `json:"text"`
}

// MarkRequest takes a failure domain or VM out of service, or brings it back.
type MarkRequest struct {
	// Target is domain or vm.
	Target string `json:"target"`
	Name   string `json:"name"`
	Out    bool   `json:"out"`
	// Base is the offset of the mark that the operator saw; null means the
	// current one, whichever it is.
	Base     *int64 `json:"base"`
	Author   string `json:"author"`
	ChangeID string `json:"change_id"`
}

// State is how far a change has come.
type State string

// The states of a change, in order. Refused and Unchanged are final.
const (
	// Pending: appended to the log, or perhaps not; no verdict yet.
	Pending State = "pending"
	// Unchanged: the list is in force as sent; nothing was appended.
	Unchanged State = "unchanged"
	// Refused: the fold refused the change; the verdict says why.
	Refused State = "refused"
	// Accepted: the change stands, and will never be lost or reverted.
	Accepted State = "accepted"
	// InForce: every live process has applied the change.
	InForce State = "in_force"
)

// stateOrder orders the states that a change passes.
var stateOrder = map[State]int{Pending: 0, Accepted: 1, InForce: 2, Unchanged: 3, Refused: 3}

// Reached says that a change in state s needs no more waiting for the wanted one.
func (s State) Reached(wanted State) bool { return stateOrder[s] >= stateOrder[wanted] }

// Change is the answer about a change: how far it has come.
type Change struct {
	ChangeID string `json:"change_id"`
	// Offset of the record; -1 while it is not known.
	Offset int64 `json:"offset"`
	State  State `json:"state"`
	// Missing names the VMs of live processes that have not shown that they applied the
	// change, at most 50 of them; MissingMore is how many there are beside those.
	Missing     []string `json:"missing"`
	MissingMore int      `json:"missing_more,omitempty"`
	Verdict     *Verdict `json:"verdict,omitempty"`
}

// MissingSummary names the VMs that have not shown that they applied the change, for a text.
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
	// Current is the offset that stood in place of the base.
	Current int64 `json:"current"`
	// Reason says what is wrong with a record that is refused for itself.
	Reason string `json:"reason,omitempty"`
}

// Failure is the body of an answer that is an error. The further fields are set
// for a conflict and for a change that could not be confirmed.
type Failure struct {
	Error result.Detail `json:"error"`
	// Current is the offset that stands, with its author and change.
	Current  *int64 `json:"current,omitempty"`
	Author   string `json:"author,omitempty"`
	ChangeID string `json:"change_id,omitempty"`
	// Change is how far the change had come.
	Change *Change `json:"change,omitempty"`
	// Faults lists what is wrong with a list, with lines.
	Faults []string `json:"faults,omitempty"`
}
