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

// maxStatus bounds a VM's answer in bytes.
const maxStatus = 64 << 10

// status shows what the log says is in force, and what VMs hold. The VMs are
// asked also where the log is not reached, because that is when one asks.
func (c *commander) status(ctx context.Context) (Code, error) {
	ch, err := c.changer()
	if err != nil {
		return Usage, err
	}
	exit := Done
	s, _, err := ch.Current(ctx)
	answer := standing{Version: s.Version, Digest: s.Digest, Outs: s.OutOfService, Read: s.LastOffset}
	if err != nil {
		answer.Log, exit = err.Error(), code(err)
	}
	for _, address := range c.vms {
		v := c.ask(ctx, address)
		if v.Problem == "" && err == nil && v.Version != s.Version {
			v.Problem = fmt.Sprintf("version %d is in force", s.Version)
		}
		if (v.Problem != "" || !v.Ready) && exit == Done {
			exit = Refused
		}
		answer.VMs = append(answer.VMs, v)
	}
	return exit, c.print(answer)
}

// ask reads a VM's own status.
func (c *commander) ask(ctx context.Context, address string) vm {
	v := vm{Address: address}
	req, err := sling.New().Base(strings.TrimRight(address, "/") + "/").Get("status").Request()
	if err != nil {
		v.Problem = err.Error()
		return v
	}
	res, err := c.client.Do(req.WithContext(ctx))
	if err != nil {
		v.Problem = "not reached: " + err.Error()
		return v
	}
	defer res.Body.Close()
	err = json.NewDecoder(io.LimitReader(res.Body, maxStatus)).Decode(&v.health)
	if err != nil || v.ID == "" || (res.StatusCode != http.StatusOK && res.StatusCode != http.StatusServiceUnavailable) {
		v.Problem = fmt.Sprintf("%s is no status", res.Status)
	}
	return v
}

// audit shows the end of the audit trail.
func (c *commander) audit(ctx context.Context) (Code, error) {
	ch, err := c.changer()
	if err != nil {
		return Usage, err
	}
	s, _, err := ch.Current(ctx)
	if err != nil {
		return code(err), err
	}
	return Done, c.print(trail{Changes: s.Audit})
}
