package platform

import (
	"context"
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

// Roles and states in the platform's list.
const (
	RoleEntry    = "entry"
	RoleBackend  = "backend"
	StateLeaving = "leaving"
)

// VMList is the platform's list of VMs as of one read.
type VMList struct {
	VMs  []VM
	etag string
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
	var response struct {
		VMs []VM `json:"vms"`
	}
	if err := decodeResponse(resp.status, resp.body, &response); err != nil {
		return nil, errors.Wrap(err, "read the list of VMs")
	}
	if last != nil && last.etag == resp.etag && slices.Equal(last.VMs, response.VMs) {
		return last, nil
	}
	return &VMList{VMs: response.VMs, etag: resp.etag}, nil
}
