// Package lister is the client of the platform's list of VMs. The list lags: a
// VM on it may be gone, and a new one may be missing. It does not decide who is
// alive.
package lister

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/dghubble/sling"
	"github.com/zeebo/errs"
)

// ErrList is the class of failed readings of the list.
var ErrList = errs.Class("vm list")

// States of a VM.
const (
	Live    = "live"
	Leaving = "leaving"
)

const (
	// maxList bounds the answer in bytes: about 160 bytes for each of some
	// thousand VMs, with a wide margin.
	maxList = 4 << 20
	// maxVMs bounds how many VMs a list may hold.
	maxVMs = 10_000
)

// A VM is one entry VM as the platform lists it.
type VM struct {
	// ID names the VM; a replacement has another.
	ID string `json:"id"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// Address is its host:port for other VMs.
	Address string `json:"address"`
	// State is Live or Leaving.
	State string `json:"state"`
}

// A Client is the platform's list. It is safe for concurrent use.
type Client struct {
	base   string
	client *http.Client
}

// New returns the list at a base URL such as http://10.0.0.6:7000.
func New(base string, client *http.Client) *Client {
	return &Client{base: base, client: client}
}

// VMs returns the VMs as the platform lists them now. An error says nothing
// about any VM.
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

// decode reads a list and refuses one that names a VM twice or not at all.
func decode(body io.Reader) ([]VM, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxList+1))
	if err != nil {
		return nil, ErrList.Wrap(err)
	}
	if len(data) > maxList {
		return nil, ErrList.New("more than %d bytes", maxList)
	}
	var answer struct {
		VMs []VM `json:"vms"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, ErrList.Wrap(err)
	}
	// An answer without the list itself is a broken answer. Taken for an empty
	// list it would say that every VM is gone.
	if answer.VMs == nil {
		return nil, ErrList.New("answer without vms")
	}
	if len(answer.VMs) > maxVMs {
		return nil, ErrList.New("%d VMs, at most %d", len(answer.VMs), maxVMs)
	}
	seen := make(map[string]bool, len(answer.VMs))
	for i, v := range answer.VMs {
		if v.ID == "" || seen[v.ID] {
			return nil, ErrList.New("vms[%d]: id %q is empty or listed twice", i, v.ID)
		}
		seen[v.ID] = true
	}
	return answer.VMs, nil
}
