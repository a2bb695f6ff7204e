package admin

import (
	"net/http"

	"github.com/apricothub/apricothub/api"
	"github.com/apricothub/apricothub/internal/adminapi"
	"github.com/apricothub/apricothub/internal/result"
)

func (h *handler) mark(w http.ResponseWriter, r *http.Request) {
	var request adminapi.MarkRequest
	if err := readJSON(w, r, &request); err != nil {
		result.WriteHTTP(w, err)
		return
	}
	target := adminapi.ParseTarget(request.Target)
	if target == api.MarkTarget_TARGET_UNSPECIFIED || request.Name == "" || len(request.Name) > maxIDBytes {
		result.WriteHTTP(w, result.New(api.ResultCode_BAD_REQUEST, "A mark needs a target, domain or vm, and a name."))
		return
	}
	if err := validateIDs(request.ChangeID, request.Author); err != nil {
		result.WriteHTTP(w, err)
		return
	}
	wait, err := readWaitOptions(r)
	if err != nil {
		result.WriteHTTP(w, err)
		return
	}
	noList := api.ListName_LIST_UNSPECIFIED
	if existing := h.configuration.Change(request.ChangeID); existing.State != adminapi.Pending {
		h.awaitChange(w, r, request.ChangeID, wait, noList)
		return
	}
	current := h.configuration.Mark(target, request.Name)
	if request.Base != nil && *request.Base < current.GetOffset() {
		offset := current.GetOffset()
		writeError(w, result.New(api.ResultCode_CONFLICT), adminapi.Failure{Current: &offset})
		return
	}
	base := current.GetOffset()
	if request.Base != nil {
		base = *request.Base
	}
	record := newRecord(request.ChangeID, request.Author)
	record.Body = &api.Record_Mark{Mark: &api.Mark{Target: target, Name: request.Name, Out: request.Out, Base: base}}
	h.appendRecord(w, r, record, wait, noList)
}
