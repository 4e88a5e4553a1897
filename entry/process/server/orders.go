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
	// orderInterval is how often engines are compared with the manifest while
	// some of them differ, and orderIdleInterval how often while none does.
	orderInterval     = time.Second
	orderIdleInterval = 15 * time.Second
	// orderTimeout bounds reading an engine's report and sending an order.
	orderTimeout = time.Second
	// maxConcurrentReports bounds the reports that are read at once.
	maxConcurrentReports = 16
	// maxReportBytes bounds the size of a report.
	maxReportBytes = 64 << 10
	// defaultMaxLoadTime and defaultMaxLoads apply where the manifest sets no
	// value.
	defaultMaxLoadTime = 2 * time.Minute
	defaultMaxLoads    = 2
)

// loadReport holds the fields of an engine's report that orders depend on.
type loadReport struct {
	Running int    `json:"running"`
	Waiting int    `json:"waiting"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// orderBody is the request body of an order.
type orderBody struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// runOrders keeps the engines that this VM holds on the versions given in the
// manifest.
func (v *Server) runOrders(ctx context.Context) {
	r := orderer.New(orderer.Config{})
	t := time.NewTicker(orderInterval)
	defer t.Stop()
	var upToDateSince time.Time
	var version uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		view := v.view.Load()
		if view == nil || view.Version == version && time.Since(upToDateSince) < orderIdleInterval {
			continue
		}
		version = view.Version
		r.Configure(ordererConfig(view))
		observations, outdated := v.observeEngines(ctx, view)
		orders := r.Tick(time.Now(), observations)
		v.dispatcher.Avoid(r.Draining())
		upToDateSince = time.Time{}
		if outdated == 0 {
			upToDateSince = time.Now()
		}
		v.sendOrders(ctx, r, orders)
	}
}

func ordererConfig(view *viewer.View) orderer.Config {
	c := orderer.Config{MaxLoads: maxLoads(view), Lease: coordinator.Today().Lease}
	for _, class := range view.Manifest.Classes {
		c.DrainTimeout = max(c.DrainTimeout, time.Duration(class.Most))
	}
	return c
}

func maxLoads(view *viewer.View) int {
	if view.Manifest.Loads > 0 {
		return view.Manifest.Loads
	}
	return defaultMaxLoads
}

// observeEngines reads the engines' reports. The observations are in the order
// of the engines' names; outdated counts those engines that do not report the
// model and version of the manifest.
func (v *Server) observeEngines(ctx context.Context, view *viewer.View) (observations []orderer.Observation, outdated int) {
	for _, u := range view.Upstreams() {
		m := view.Manifest.Models[u.Model]
		if u.OutOfService || u.Model == "" || m.Version == "" {
			continue
		}
		load := time.Duration(m.Load)
		if load <= 0 {
			load = defaultMaxLoadTime
		}
		observations = append(observations, orderer.Observation{Engine: orderer.Engine{
			Name: u.Name, Address: u.Address, Model: u.Model, Version: m.Version, MaxLoadTime: load,
		}})
	}
	semaphore := make(chan struct{}, maxConcurrentReports)
	var reads sync.WaitGroup
	for i := range observations {
		semaphore <- struct{}{}
		reads.Go(func() {
			v.readReport(ctx, &observations[i])
			<-semaphore
		})
	}
	reads.Wait()
	for i := range observations {
		f := &observations[i]
		f.Fence, f.Held = v.coordinator.Fence(f.Name)
		if f.ReportedModel != f.Model || f.ReportedVersion != f.Version {
			outdated++
		}
	}
	return observations, outdated
}

func (v *Server) readReport(ctx context.Context, f *orderer.Observation) {
	start := time.Now()
	var report loadReport
	status, err := v.engineCall(ctx, sling.New().Get("http://"+f.Address+"/v1/load"), &report)
	if err != nil || status != http.StatusOK {
		v.meter.Count("orders.unread", 1)
		return
	}
	f.ReadAt, f.Requests = start, report.Running+report.Waiting
	f.ReportedModel, f.ReportedVersion = report.Model, report.Version
}

// sendOrders sends orders concurrently: an order queued behind that of a slow
// engine would be too old to send.
func (v *Server) sendOrders(ctx context.Context, r *orderer.Orderer, orders []orderer.Order) {
	outcomes := make([]orderer.Outcome, len(orders))
	var sends sync.WaitGroup
	for i, o := range orders {
		sends.Go(func() { outcomes[i] = v.sendOrder(ctx, o) })
	}
	sends.Wait()
	for i, o := range orders {
		r.RecordOutcome(o, outcomes[i])
	}
}

// sendOrder sends an order, unless the hold on its engine has changed since.
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
		v.log.Info().Str("upstream", o.Name).Str("version", o.Version).Uint64("fence", o.Fence).Msg("ordered engine to load model version")
		return orderer.Accepted
	case refusal.Error.Code == "fence":
		v.meter.Count("orders.fenced", 1)
		return orderer.Fenced
	}
	v.meter.Count("orders.refused", 1)
	return orderer.Refused
}

// engineCall makes a request and decodes its JSON response into answer.
func (v *Server) engineCall(ctx context.Context, s *sling.Sling, answer any) (int, error) {
	limited, cancel := context.WithTimeout(ctx, orderTimeout)
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return 0, err
	}
	return response.StatusCode, json.Unmarshal(data, answer)
}
