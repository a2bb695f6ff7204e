package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/go-faster/errors"
)

// VM is an entry of the platform's list of VMs. The list may be out of date.
type VM struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Link          string `json:"link"`
	Public        string `json:"public"`
	Group         string `json:"group"`
	State         string `json:"state"`
	// Region is the region of the VM; empty where the platform has only one.
	Region string `json:"region,omitempty"`
	// Offer is what a backend server serves, "model:NAME" or "service:NAME"; empty if the list does
	// not contain it.
	Offer string `json:"offer,omitempty"`
}

// errNoID is the error of an entry of the list without an ID.
var errNoID = errors.New("the VM has no ID")

// Roles and states in the platform's list.
const (
	RoleEntry    = "entry"
	RoleBackend  = "backend"
	StateLeaving = "leaving"
)

// VMList is the platform's list of VMs as of one read.
type VMList struct {
	VMs []VM
	// Malformed are the errors of entries that cannot be decoded and are left out.
	Malformed []error
	etag      string
}

// ListVMs returns the platform's list of live and leaving VMs. It returns last itself if the list
// has not changed since; last may be nil. The list is large and changes rarely, so a platform that
// sends an ETag is asked for it conditionally. A platform that sends none returns the whole list
// each time.
func (c *Client) ListVMs(ctx context.Context, last *VMList) (*VMList, error) {
	etag := ""
	if last != nil {
		etag = last.etag
	}
	resp, err := c.do(ctx, http.MethodGet, "/vms", nil, 0, etag)
	if err != nil {
		return nil, errors.Wrap(err, "read the list of VMs")
	}
	if resp.status == http.StatusNotModified && etag != "" {
		return last, nil
	}
	entries, err := decodeList(resp, "vms", &struct{}{})
	if err != nil {
		return nil, errors.Wrap(err, "read the list of VMs")
	}
	list := &VMList{etag: resp.etag}
	for i, raw := range entries {
		var vm VM
		err := json.Unmarshal(raw, &vm)
		if err == nil && vm.ID == "" {
			err = errNoID
		}
		if err != nil {
			list.Malformed = append(list.Malformed, errors.Wrapf(err, "entry %d, %q", i, vm.ID))
			continue
		}
		list.VMs = append(list.VMs, vm)
	}
	if last != nil && last.etag == list.etag && slices.Equal(last.VMs, list.VMs) {
		return last, nil
	}
	return list, nil
}
