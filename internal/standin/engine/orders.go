package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// fetchRetryPause is the delay between attempts to read from the weight store.
const fetchRetryPause = time.Second

// Order is the desired state of an engine. Fields that are absent or null keep
// their values.
type Order struct {
	ID       string   `json:"id"`
	Fence    int64    `json:"fence"`
	Versions []string `json:"versions"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// State is the response body of /v1/state.
type State struct {
	Versions []string `json:"versions"`
	Loading  []string `json:"loading"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Fence    int64    `json:"fence"`
}

type fenceBody struct {
	Fence int64 `json:"fence"`
}

type orderState struct {
	fence    int64
	desired  []string
	adapters []string
	role     string
	loading  map[string]*versionLoad
}

type versionLoad struct {
	cancel context.CancelFunc
}

func newOrderState(settings Settings) orderState {
	return orderState{
		desired:  slices.Clone(settings.Versions),
		adapters: slices.Clone(settings.Adapters),
		role:     settings.Role,
		loading:  make(map[string]*versionLoad),
	}
}

func (o *orderState) cancelVersionLoads() {
	for _, l := range o.loading {
		l.cancel()
	}
	clear(o.loading)
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

// State returns the loaded versions and adapters, the role and the fencing token.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := State{
		Versions: append([]string{}, e.versions...),
		Loading:  []string{},
		Adapters: append([]string{}, e.orders.adapters...),
		Role:     e.orders.role,
		Fence:    e.orders.fence,
	}
	for _, version := range e.orders.desired {
		if e.orders.loading[version] != nil {
			state.Loading = append(state.Loading, version)
		}
	}
	return state
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		writeFailure(w, badRequest(err.Error()))
		return
	}
	var order Order
	if err := json.Unmarshal(body, &order); err != nil {
		writeFailure(w, badRequest(err.Error()))
		return
	}
	e.mu.Lock()
	if !e.settings.IgnoreFencing && order.Fence < e.orders.fence {
		fence := e.orders.fence
		e.mu.Unlock()
		writeJSON(w, http.StatusConflict, fenceBody{fence})
		return
	}
	e.apply(order)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.State())
}

// apply carries out an order. It unloads versions at once and starts loading
// those that are missing.
func (e *Engine) apply(order Order) {
	e.records.orders = append(e.records.orders, order)
	e.orders.fence = order.Fence
	if order.Role != "" {
		e.orders.role = order.Role
	}
	if order.Adapters != nil {
		e.orders.adapters = slices.Clone(order.Adapters)
	}
	if order.Versions == nil {
		return
	}
	e.orders.desired = slices.Clone(order.Versions)
	loaded := e.versions
	e.versions = nil
	for _, version := range order.Versions {
		switch {
		case slices.Contains(loaded, version):
			e.versions = append(e.versions, version)
		case e.orders.loading[version] == nil:
			e.startVersionLoad(version)
		}
	}
	for version, l := range e.orders.loading {
		if !slices.Contains(order.Versions, version) {
			l.cancel()
			delete(e.orders.loading, version)
		}
	}
}

func (e *Engine) startVersionLoad(version string) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &versionLoad{cancel: cancel}
	e.orders.loading[version] = l
	go func() {
		defer cancel()
		e.fetch(ctx)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.orders.loading[version] != l {
			return // this load was cancelled, and possibly replaced by a new one
		}
		delete(e.orders.loading, version)
		e.addVersion(version)
	}()
}

// fetch blocks for the duration of a version load, which is the read from the weight
// store plus LoadTime, or until ctx is done. It retries failed reads.
func (e *Engine) fetch(ctx context.Context) {
	for e.settings.Weights != nil && ctx.Err() == nil {
		if e.settings.Weights.Fetch(ctx, e.settings.VersionBytes) == nil {
			break
		}
		pause(ctx, fetchRetryPause)
	}
	seconds := e.settings.LoadTime.Seconds() / e.settings.TimeScale
	pause(ctx, time.Duration(seconds*float64(time.Second)))
}

// pause returns after d or when ctx is done.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// addVersion makes a version available. The versions keep the sequence in which
// the order lists them.
func (e *Engine) addVersion(version string) {
	loaded := append(slices.Clone(e.versions), version)
	e.versions = nil
	for _, candidate := range e.orders.desired {
		if slices.Contains(loaded, candidate) {
			e.versions = append(e.versions, candidate)
		}
	}
}
