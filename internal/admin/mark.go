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
	target := adminapi.TargetNamed(request.Target)
	if target == api.MarkTarget_TARGET_UNSPECIFIED || request.Name == "" || len(request.Name) > maxIDBytes {
		result.WriteHTTP(w, result.New(api.ResultCode_BAD_REQUEST, "A mark needs a target, domain or vm, and a name."))
		return
	}
	if err := checkIDs(request.ChangeID, request.Author); err != nil {
		result.WriteHTTP(w, err)
		return
	}
	wait, err := readWait(r)
	if err != nil {
		result.WriteHTTP(w, err)
		return
	}
	none := api.ListName_LIST_UNSPECIFIED
	if known := h.configuration.Change(request.ChangeID); known.State != adminapi.Pending {
		h.follow(w, r, request.ChangeID, wait, none)
		return
	}
	now := h.configuration.Mark(target, request.Name)
	if request.Base != nil && *request.Base < now.GetOffset() {
		offset := now.GetOffset()
		writeFailure(w, result.New(api.ResultCode_CONFLICT), adminapi.Failure{Current: &offset})
		return
	}
	base := now.GetOffset()
	if request.Base != nil {
		base = *request.Base
	}
	record := newRecord(request.ChangeID, request.Author)
	record.Body = &api.Record_Mark{Mark: &api.Mark{Target: target, Name: request.Name, Out: request.Out, Base: base}}
	h.append(w, r, record, wait, none)
}
