package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/dghubble/sling"

	"github.com/heathervane/heathervane/library/describer"
)

// maxLoad limits the size of a VM's description of its load in bytes.
const maxLoad = 4 << 20

// loadReport is the result of the load command.
type loadReport struct {
	VMs []vmLoad `json:"vms"`
}

// vmLoad is the load that a VM describes, and the problem found with it, if any.
type vmLoad struct {
	Address string `json:"address"`
	describer.Load
	Problem string `json:"problem,omitempty"`
}

// load prints what the given VMs know of the load on the groups that they lead.
func (c *commander) load(ctx context.Context) (Code, error) {
	if len(c.vms) == 0 {
		return ExitUsage, errUsage.New("load: name at least one VM by --vm")
	}
	exit := ExitOK
	var report loadReport
	for _, address := range c.vms {
		v := c.fetchLoad(ctx, address)
		if v.Problem != "" {
			exit = ExitRefused
		}
		report.VMs = append(report.VMs, v)
	}
	return exit, c.print(report)
}

// fetchLoad requests a VM's description of its load.
func (c *commander) fetchLoad(ctx context.Context, address string) vmLoad {
	v := vmLoad{Address: address}
	req, err := sling.New().Base(strings.TrimRight(address, "/") + "/").Get(strings.TrimPrefix(describer.Path, "/")).Request()
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
	err = json.NewDecoder(io.LimitReader(res.Body, maxLoad)).Decode(&v.Load)
	if err != nil || v.VM == "" || res.StatusCode != http.StatusOK {
		v.Problem = fmt.Sprintf("%s is not a valid description of the load", res.Status)
	}
	return v
}

func (r loadReport) text() string {
	var b strings.Builder
	for i := range r.VMs {
		r.VMs[i].write(&b)
	}
	return b.String()
}

func (v *vmLoad) write(b *strings.Builder) {
	if v.Problem != "" {
		fmt.Fprintf(b, "%s: %s\n", v.Address, v.Problem)
		return
	}
	fmt.Fprintf(b, "%s %s\n", v.Address, v.VM)
	for i := range v.Groups {
		writeGroup(b, &v.Groups[i])
	}
	writeCounts(b, "refused", v.Refusals)
	writeCounts(b, "bytes held", v.Memory)
}

func writeGroup(b *strings.Builder, g *describer.Group) {
	name := g.Service
	if g.Zone != "" {
		name += " in zone " + g.Zone
	}
	led := ""
	if !g.Leads {
		led = ", led by another VM"
	}
	fmt.Fprintf(b, "  %s: %d upstreams, %d slots free%s\n", name, g.Upstreams, g.FreeSlots, led)
	for _, part := range []struct {
		name    string
		classes []describer.Class
	}{{"waiting", g.Waiting}, {"running", g.Running}} {
		for _, c := range part.classes {
			fmt.Fprintf(b, "    %s: priority %d, %s, team %s: %d, oldest %d ms\n", part.name, c.Priority, c.Kind, c.Team, c.Count, c.Oldest)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(g.Details)) {
		fmt.Fprintf(b, "    %s: %g\n", name, g.Details[name])
	}
}

func writeCounts(b *strings.Builder, title string, counts map[string]int64) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(b, "  %s, %s: %d\n", title, name, counts[name])
	}
}
