// Package lister is the client of the platform's list of VMs. The list lags
// behind reality: a listed VM may be gone, and a new VM may be missing. The package
// does not decide which VMs are alive.
package lister

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/zeebo/errs"
)

// ErrList is the class of failures to read the list.
var ErrList = errs.Class("vm list")

// States of a VM.
const (
	Live    = "live"
	Leaving = "leaving"
)

const (
	// maxResponseBytes limits the size of the response. An entry takes about 160
	// bytes, so this leaves a wide margin for several thousand VMs.
	maxResponseBytes = 4 << 20
	// maxVMs limits the number of VMs in a list.
	maxVMs = 10_000
)

// A VM is an entry VM as listed by the platform.
type VM struct {
	// ID identifies the VM; a replacement VM has a different ID.
	ID string `json:"id"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// Address is the host:port on which other VMs reach it.
	Address string `json:"address"`
	// State is Live or Leaving.
	State string `json:"state"`
}

// A Client reads the platform's list of VMs. It is safe for concurrent use.
type Client struct {
	base   string
	client *http.Client
}

// New returns a client for the list at a base URL such as http://10.0.0.6:7000.
func New(base string, client *http.Client) *Client {
	return &Client{base: base, client: client}
}

// VMs returns the VMs that the platform currently lists. An error carries no
// information about any VM.
func (l *Client) VMs(ctx context.Context) ([]VM, error) {
	req, err := sling.New().Get(l.base + "/vms").Request()
	if err != nil {
		return nil, ErrList.Wrap(err)
	}
	res, err := l.client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, ErrList.Wrap(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, ErrList.New("%s", res.Status)
	}
	return decode(res.Body)
}

// decode parses a list and rejects one with a missing or duplicate ID.
func decode(body io.Reader) ([]VM, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes+1))
	if err != nil {
		return nil, ErrList.Wrap(err)
	}
	if len(data) > maxResponseBytes {
		return nil, ErrList.New("response exceeds %d bytes", maxResponseBytes)
	}
	var response struct {
		VMs []VM `json:"vms"`
	}
	if err := json.Unmarshal(data, &response); err != nil {
		return nil, ErrList.Wrap(err)
	}
	// A response without a vms key is invalid. Treating it as an empty list would
	// mean that every VM is gone.
	if response.VMs == nil {
		return nil, ErrList.New("response has no vms")
	}
	if len(response.VMs) > maxVMs {
		return nil, ErrList.New("%d VMs listed, the maximum is %d", len(response.VMs), maxVMs)
	}
	seen := make(map[string]bool, len(response.VMs))
	for i, v := range response.VMs {
		if v.ID == "" || seen[v.ID] {
			return nil, ErrList.New("vms[%d]: id %q is empty or listed twice", i, v.ID)
		}
		seen[v.ID] = true
	}
	return response.VMs, nil
}
