package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"github.com/heathervane/heathervane/entry/process/coordinator"
	"github.com/heathervane/heathervane/entry/process/orderer"
	"github.com/heathervane/heathervane/entry/version/viewer"
)

const (
	// orderEvery is how often engines are compared with the manifest while
	// some differ, and orderLook how often all are looked at while none does.
	orderEvery = time.Second
	orderLook  = 15 * time.Second
	// orderTime bounds the reading of a report and the sending of an order.
	orderTime = time.Second
	// orderReads is how many reports are read at once.
	orderReads = 16
	// maxReport bounds a report in bytes.
	maxReport = 64 << 10
	// defaultLoad and defaultLoads stand where the manifest says nothing.
	defaultLoad  = 2 * time.Minute
	defaultLoads = 2
)

// loadReport is the part of an engine's report that orders rest on.
type loadReport struct {
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// orderBody is the body of an order.
type orderBody struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// orders keeps the engines that this VM holds on the versions of the manifest.
func (v *Server) orders(ctx context.Context) {
	r := orderer.New(orderer.Config{})
	t := time.NewTicker(orderEvery)
	defer t.Stop()
	var clean time.Time
	var version uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		view := v.view.Load()
		if view == nil || view.Version == version && time.Since(clean) < orderLook {
			continue
		}
		version = view.Version
		r.Configure(orderConfig(view))
		facts, behind := v.orderFacts(ctx, view)
		orders := r.Tick(time.Now(), facts)
		v.dispatcher.Avoid(r.Draining())
		clean = time.Time{}
		if behind == 0 {
			clean = time.Now()
		}
		v.sendOrders(ctx, r, orders)
	}
}

func orderConfig(view *viewer.View) orderer.Config {
	c := orderer.Config{MaxLoads: orderLoads(view), Lease: coordinator.Today().Lease}
	for _, class := range view.Manifest.Classes {
		c.DrainTimeout = max(c.DrainTimeout, time.Duration(class.Most))
	}
	return c
}

func orderLoads(view *viewer.View) int {
	if view.Manifest.Loads > 0 {
		return view.Manifest.Loads
	}
	return defaultLoads
}

// orderFacts reads the engines' reports in the order of their names.
func (v *Server) orderFacts(ctx context.Context, view *viewer.View) (facts []orderer.Observation, behind int) {
	for _, u := range view.Upstreams() {
		m := view.Manifest.Models[u.Model]
		if u.OutOfService || u.Model == "" || m.Version == "" {
			continue
		}
		load := time.Duration(m.Load)
		if load <= 0 {
			load = defaultLoad
		}
		facts = append(facts, orderer.Observation{Engine: orderer.Engine{
			Name: u.Name, Address: u.Address, Model: u.Model, Version: m.Version, MaxLoadTime: load,
		}})
	}
	places := make(chan struct{}, orderReads)
	var reads sync.WaitGroup
	for i := range facts {
		places <- struct{}{}
		reads.Go(func() {
			v.readReport(ctx, &facts[i])
			<-places
		})
	}
	reads.Wait()
	for i := range facts {
		f := &facts[i]
		f.Fence, f.Held = v.coordinator.Fence(f.Name)
		if f.ReportedModel != f.Model || f.ReportedVersion != f.Version {
			behind++
		}
	}
	return facts, behind
}

func (v *Server) readReport(ctx context.Context, f *orderer.Observation) {
	began := time.Now()
	var report loadReport
	status, err := v.engineCall(ctx, sling.New().Get("http://"+f.Address+"/v1/load"), &report)
	if err != nil || status != http.StatusOK {
		v.meter.Count("orders.unread", 1)
		return
	}
	f.ReadAt, f.Requests = began, report.Running+report.Waiting
	f.ReportedModel, f.ReportedVersion = report.Model, report.Version
}

// sendOrders sends orders side by side: one behind a slow engine's would be too
// old to be sent.
func (v *Server) sendOrders(ctx context.Context, r *orderer.Orderer, orders []orderer.Order) {
	answers := make([]orderer.Outcome, len(orders))
	var sends sync.WaitGroup
	for i, o := range orders {
		sends.Go(func() { answers[i] = v.sendOrder(ctx, o) })
	}
	sends.Wait()
	for i, o := range orders {
		r.RecordOutcome(o, answers[i])
	}
}

// sendOrder sends an order, unless its engine is no longer held as it was.
func (v *Server) sendOrder(ctx context.Context, o orderer.Order) orderer.Outcome {
	body := orderBody{Fence: o.Fence, Kind: "load", Model: o.Model, Version: o.Version}
	request := sling.New().Post("http://" + o.Address + "/v1/orders").BodyJSON(body)
	if fence, held := v.coordinator.Fence(o.Name); !o.Valid(time.Now(), fence, held) {
		v.meter.Count("orders.stopped", 1)
		return orderer.Refused
	}
	var refusal struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	status, err := v.engineCall(ctx, request, &refusal)
	switch {
	case err != nil:
		v.meter.Count("orders.lost", 1)
		return orderer.Lost
	case status == http.StatusAccepted:
		v.meter.Count("orders.accepted", 1)
		v.log.Info().Str("upstream", o.Name).Str("version", o.Version).Uint64("fence", o.Fence).Msg("engine ordered to load")
		return orderer.Accepted
	case refusal.Error.Code == "fence":
		v.meter.Count("orders.fenced", 1)
		return orderer.Fenced
	}
	v.meter.Count("orders.refused", 1)
	return orderer.Refused
}

// engineCall makes a call and reads its JSON answer.
func (v *Server) engineCall(ctx context.Context, s *sling.Sling, answer any) (int, error) {
	limited, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	request, err := s.Request()
	if err != nil {
		return 0, err
	}
	response, err := v.upstream.Do(request.WithContext(limited))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReport))
	if err != nil {
		return 0, err
	}
	return response.StatusCode, json.Unmarshal(data, answer)
}
