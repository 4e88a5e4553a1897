package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/dghubble/sling"
)

// notReached begins the problem of a VM that did not answer.
const notReached = "not reached: "

// maxStatus limits the size of a VM's status response in bytes.
const maxStatus = 64 << 10

// status prints the configuration in force according to the log, and the status of
// the given VMs. The VMs are queried even if the log cannot be read, because that
// is when operators need their status most.
func (c *commander) status(ctx context.Context) (Code, error) {
	ch, err := c.changer()
	if err != nil {
		return ExitUsage, err
	}
	exit := ExitOK
	s, _, err := ch.Current(ctx)
	report := statusReport{Version: s.Version, Digest: s.Digest, Outs: s.OutOfService, Read: s.LastOffset}
	if err != nil {
		report.Log, exit = err.Error(), exitCode(err)
	}
	for _, address := range c.vms {
		v := c.fetchStatus(ctx, address)
		if v.Problem == "" && err == nil && v.Version != s.Version {
			v.Problem = fmt.Sprintf("version %d is in force", s.Version)
		}
		if (v.Problem != "" || !v.Ready) && exit == ExitOK {
			exit = ExitRefused
		}
		report.VMs = append(report.VMs, v)
	}
	return exit, c.print(report)
}

// fetchStatus requests the status of a VM.
func (c *commander) fetchStatus(ctx context.Context, address string) vmStatus {
	v := vmStatus{Address: address}
	req, err := sling.New().Base(strings.TrimRight(address, "/") + "/").Get("status").Request()
	if err != nil {
		v.Problem = err.Error()
		return v
	}
	res, err := c.client.Do(req.WithContext(ctx))
	if err != nil {
		v.Problem = notReached + err.Error()
		return v
	}
	defer res.Body.Close()
	err = json.NewDecoder(io.LimitReader(res.Body, maxStatus)).Decode(&v.health)
	if err != nil || v.ID == "" || (res.StatusCode != http.StatusOK && res.StatusCode != http.StatusServiceUnavailable) {
		v.Problem = fmt.Sprintf("%s is not a valid status response", res.Status)
	}
	return v
}

// audit prints the retained part of the audit trail.
func (c *commander) audit(ctx context.Context) (Code, error) {
	ch, err := c.changer()
	if err != nil {
		return ExitUsage, err
	}
	s, _, err := ch.Current(ctx)
	if err != nil {
		return exitCode(err), err
	}
	return ExitOK, c.print(auditTrail{Changes: s.Audit})
}
