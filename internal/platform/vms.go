package platform

import (
	"context"
	"net/http"
	"slices"

	"github.com/go-faster/errors"
)

// VM is one line of the platform's list. The list lags.
type VM struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	FailureDomain string `json:"failure_domain"`
	Link          string `json:"link"`
	Public        string `json:"public"`
	Group         string `json:"group"`
	State         string `json:"state"`
	// Region is where the VM stands; empty where the platform has one only.
	Region string `json:"region,omitempty"`
	// Offer is what a backend server serves, "model:NAME" or "service:NAME"; empty if
	// the list does not say.
	Offer string `json:"offer,omitempty"`
}

// Roles and states of the platform's list.
const (
	RoleEntry    = "entry"
	RoleBackend  = "backend"
	StateLeaving = "leaving"
)

// VMList is the platform's list as it was read once.
type VMList struct {
	VMs  []VM
	etag string
}

// ListVMs returns the platform's list of live and leaving ListVMs; last itself when it has not
// changed since that was read, nil for none. The list is large and changes little: a
// platform that tags its answers (ETag) is asked only for another one, and one that does
// not sends it whole.
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
