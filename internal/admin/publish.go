package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/coord/config"
	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/result"
	"github.com/apricothub/apricothub/internal/settings"
)

const (
	defaultWait = 10 * time.Second
	// pollInterval is short compared with the time a change takes to spread. Polling is cheap,
	// since only operators wait.
	pollInterval = 20 * time.Millisecond
	// maxMissing limits the VMs that an answer names. An operator looks at a few of them; with
	// thousands of VMs the rest is given as a count.
	maxMissing = 50
	// maxIDBytes limits the length of change_id and author.
	maxIDBytes = 100
)

func (h *handler) lists(w http.ResponseWriter, r *http.Request) {
	list := adminapi.ParseListName(r.PathValue("list"))
	switch {
	case list == api.ListName_LIST_UNSPECIFIED:
		result.WriteHTTP(w, result.New(api.ResultCode_UNKNOWN_ADDRESS, "There are two lists: plans and uses."))
	case r.Method == http.MethodGet:
		h.writeList(w, list)
	case r.Method == http.MethodPost:
		h.publish(w, r, list)
	default:
		w.Header().Set("Allow", "GET, POST")
		result.WriteHTTP(w, result.New(api.ResultCode_METHOD_NOT_ALLOWED))
	}
}

func (h *handler) writeList(w http.ResponseWriter, list api.ListName) {
	current := h.configuration.List(list)
	writeJSON(w, adminapi.List{
		Offset: current.Offset, Text: string(settings.Format(current.Sections)),
		Author: current.Author, ChangeID: current.ChangeID,
	})
}

func (h *handler) publish(w http.ResponseWriter, r *http.Request, list api.ListName) {
	var request adminapi.PublishRequest
	if err := readJSON(w, r, &request); err != nil {
		result.WriteHTTP(w, err)
		return
	}
	if err := validateIDs(request.ChangeID, request.Author); err != nil {
		result.WriteHTTP(w, err)
		return
	}
	sections, err := settings.Parse(list, adminapi.ListName(list), []byte(request.Text))
	if err != nil {
		writeBadList(w, err)
		return
	}
	wait, err := readWaitOptions(r)
	if err != nil {
		result.WriteHTTP(w, err)
		return
	}
	// The publisher may repeat a change because its answer was lost. The accepted change has then
	// moved the list past the base, which is not a conflict.
	if existing := h.configuration.Change(request.ChangeID); existing.State != adminapi.Pending {
		h.awaitChange(w, r, request.ChangeID, wait, list)
		return
	}
	current, err := h.awaitBase(r, list, request.Base, wait)
	if err != nil {
		result.WriteHTTP(w, err)
		return
	}
	// A list that is already in force needs no change, whatever its base.
	change := Difference(list, current.Sections, sections)
	if len(change.GetSet()) == 0 && len(change.GetRemoved()) == 0 {
		writeJSON(w, adminapi.Change{
			ChangeID: request.ChangeID, Offset: current.Offset,
			State: adminapi.Unchanged, Missing: []string{},
		})
		return
	}
	if current.Offset != request.Base && h.hasVerdict(request.ChangeID) {
		h.awaitChange(w, r, request.ChangeID, wait, list)
		return
	}
	if current.Offset != request.Base {
		writeBaseConflict(w, current)
		return
	}
	change.Base = request.Base
	record := newRecord(request.ChangeID, request.Author)
	record.Body = &api.Record_List{List: change}
	h.appendRecord(w, r, record, wait, list)
}

// awaitBase returns the list in force once this process has applied the base, which the operator
// may have read from another process.
func (h *handler) awaitBase(r *http.Request, list api.ListName, base int64, wait waitOptions) (ListInForce, error) {
	deadline := time.After(wait.timeout)
	for {
		current := h.configuration.List(list)
		if current.Offset >= base {
			return current, nil
		}
		select {
		case <-deadline:
			return current, result.Refuse(api.ResultCode_LOG_UNAVAILABLE, time.Second,
				"This process has not applied offset", strconv.FormatInt(base, 10), "yet. Try another entry.")
		case <-r.Context().Done():
			return current, result.New(api.ResultCode_LOG_UNAVAILABLE)
		case <-time.After(pollInterval):
		}
	}
}

// Difference returns the change that turns one list into another. The caller sets the base.
func Difference(list api.ListName, before, after []*api.Section) *api.ListChange {
	change := &api.ListChange{List: list}
	oldByName := make(map[string]*api.Section, len(before))
	for _, s := range before {
		oldByName[s.GetName()] = s
	}
	kept := make(map[string]bool, len(after))
	for _, s := range after {
		kept[s.GetName()] = true
		if !proto.Equal(oldByName[s.GetName()], s) {
			change.Set = append(change.Set, s)
		}
	}
	for _, s := range before {
		if !kept[s.GetName()] {
			change.Removed = append(change.Removed, s.GetName())
		}
	}
	return change
}

func newRecord(changeID, author string) *api.Record {
	return &api.Record{ChangeId: changeID, Author: author, PublishedMs: time.Now().UnixMilli()}
}

// appendRecord appends a record to the log and answers with the progress of the change.
func (h *handler) appendRecord(w http.ResponseWriter, r *http.Request, record *api.Record, wait waitOptions, list api.ListName) {
	err := h.configuration.Append(r.Context(), record)
	if refusedBeforeAppend(err) && !h.hasVerdict(record.GetChangeId()) {
		h.writeRefusal(w, record.GetChangeId(), err, list)
		return
	}
	if err != nil && !refusedBeforeAppend(err) && result.FromError(err).Ran != api.Ran_RAN_UNKNOWN {
		result.WriteHTTP(w, err)
		return
	}
	if err != nil && wait.state == adminapi.Pending {
		// It is unknown whether the record was appended; only a verdict shows it.
		wait.state = adminapi.Accepted
	}
	wait.appendErr = err
	h.awaitChange(w, r, record.GetChangeId(), wait, list)
}

// hasVerdict reports whether a record with the change id was applied here. It is checked again just
// before a conflict is answered: a record that an operator repeats, because its answer was lost,
// may have been applied since the request arrived and have caused the conflict itself.
func (h *handler) hasVerdict(changeID string) bool {
	return h.configuration.Change(changeID).State != adminapi.Pending
}

// refusedBeforeAppend reports whether a record was not appended because every member would have
// refused it.
func refusedBeforeAppend(err error) bool {
	var conflict *config.ConflictError
	var refused *config.RefusedError
	return errors.As(err, &conflict) || errors.As(err, &refused)
}

// writeRefusal answers for a record that was refused before it was appended.
func (h *handler) writeRefusal(w http.ResponseWriter, changeID string, err error, list api.ListName) {
	var conflict *config.ConflictError
	if !errors.As(err, &conflict) {
		writeError(w, result.New(api.ResultCode_BAD_LIST, err.Error()), adminapi.Failure{})
		return
	}
	change := adminapi.Change{
		ChangeID: changeID, Offset: -1, State: adminapi.Refused, Missing: []string{},
		Verdict: &adminapi.Verdict{Offset: -1, Current: conflict.Current},
	}
	h.writeChangeConflict(w, change, list)
}

// awaitChange waits until a change reaches the requested state or the timeout passes, then writes
// its progress. list is unspecified for a mark.
func (h *handler) awaitChange(w http.ResponseWriter, r *http.Request, id string, wait waitOptions, list api.ListName) {
	done := r.Context().Done()
	deadline := time.Now().Add(wait.timeout)
	change := h.configuration.Change(id)
	for !change.State.Reached(wait.state) && time.Now().Before(deadline) {
		if !awaitPollInterval(done) {
			return
		}
		change = h.configuration.Change(id)
	}
	h.writeChange(w, change, wait, list)
}

func (h *handler) writeChange(w http.ResponseWriter, change adminapi.Change, wait waitOptions, list api.ListName) {
	if change.Missing == nil {
		change.Missing = []string{}
	}
	if omitted := len(change.Missing) - maxMissing; omitted > 0 {
		change.Missing, change.MissingMore = change.Missing[:maxMissing], omitted
	}
	switch {
	case change.State == adminapi.Refused && change.Verdict != nil && change.Verdict.Reason != "":
		writeError(w, result.New(api.ResultCode_BAD_LIST, change.Verdict.Reason), adminapi.Failure{Change: &change})
	case change.State == adminapi.Refused:
		h.writeChangeConflict(w, change, list)
	case !change.State.Reached(wait.state):
		writeError(w, notConfirmed(change, wait), adminapi.Failure{Change: &change})
	default:
		writeJSON(w, change)
	}
}

func notConfirmed(change adminapi.Change, wait waitOptions) *result.Error {
	text := fmt.Sprintf("After %s the change is %s, not %s.", wait.timeout, change.State, wait.state)
	if wait.appendErr != nil && change.State == adminapi.Pending {
		text += " The platform's log gave no answer: " + result.FromError(wait.appendErr).Text + "."
	}
	if len(change.Missing) > 0 {
		text += " These have not shown that they hold it: " + change.MissingSummary() + "."
	}
	return result.New(api.ResultCode_NOT_CONFIRMED, text)
}

func (h *handler) writeChangeConflict(w http.ResponseWriter, change adminapi.Change, list api.ListName) {
	failure := adminapi.Failure{Change: &change}
	if change.Verdict != nil {
		failure.Current = &change.Verdict.Current
	}
	if current := h.configuration.List(list); failure.Current != nil && current.Offset == *failure.Current {
		failure.Author, failure.ChangeID = current.Author, current.ChangeID
	}
	writeError(w, result.New(api.ResultCode_CONFLICT), failure)
}

func writeBaseConflict(w http.ResponseWriter, current ListInForce) {
	writeError(w, result.New(api.ResultCode_CONFLICT),
		adminapi.Failure{Current: &current.Offset, Author: current.Author, ChangeID: current.ChangeID})
}

func writeBadList(w http.ResponseWriter, err error) {
	failure := adminapi.Failure{}
	var faults settings.Faults
	if errors.As(err, &faults) {
		for _, fault := range faults {
			failure.Faults = append(failure.Faults, fault.String())
		}
	}
	writeError(w, result.New(api.ResultCode_BAD_LIST), failure)
}

func (h *handler) change(w http.ResponseWriter, r *http.Request) {
	wait, err := readWaitOptions(r)
	if err != nil {
		result.WriteHTTP(w, err)
		return
	}
	h.awaitChange(w, r, r.PathValue("id"), wait, api.ListName_LIST_UNSPECIFIED)
}

// waitOptions holds the state that a request waits for, and for how long.
type waitOptions struct {
	state   adminapi.State
	timeout time.Duration
	// appendErr is the error of an append whose outcome is unknown, or nil.
	appendErr error
}

func readWaitOptions(r *http.Request) (waitOptions, error) {
	query := r.URL.Query()
	wait := waitOptions{state: adminapi.Pending, timeout: defaultWait}
	switch state := adminapi.State(query.Get("wait")); state {
	case "":
	case adminapi.Accepted, adminapi.InForce:
		wait.state = state
	default:
		return wait, result.New(api.ResultCode_BAD_REQUEST, "wait is accepted or in_force.")
	}
	if text := query.Get("timeout_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 || ms > adminapi.MaxWait.Milliseconds() {
			return wait, result.Newf(api.ResultCode_BAD_REQUEST, "timeout_ms is between 0 and %d.", adminapi.MaxWait.Milliseconds())
		}
		wait.timeout = time.Duration(ms) * time.Millisecond
	}
	return wait, nil
}

func validateIDs(changeID, author string) error {
	if changeID == "" || len(changeID) > maxIDBytes || author == "" || len(author) > maxIDBytes {
		return result.Newf(api.ResultCode_BAD_REQUEST, "change_id and author are needed, of at most %d bytes.", maxIDBytes)
	}
	return nil
}

// readJSON decodes a body of limited size. Unknown fields are rejected, so that a misspelt field is
// noticed.
func readJSON(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return result.New(api.ResultCode_BODY_TOO_LARGE)
	}
	return result.New(api.ResultCode_BAD_REQUEST, err.Error())
}

// awaitPollInterval waits for one poll interval and returns false if the client has disconnected.
func awaitPollInterval(done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	case <-time.After(pollInterval):
		return true
	}
}
