package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/basilloom/basilloom/scheduler"
)

// manageTimeout bounds one management call.
const manageTimeout = 3 * time.Second

// refusalPollInterval is the time between two checks of a target that may have crashed.
const refusalPollInterval = 50 * time.Millisecond

// State is the state that a target reports.
type State struct {
	Versions []string `json:"versions"`
	Loading  []string `json:"loading"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Fence    int64    `json:"fence"`
}

// Order is a desired state of a target. Orders are idempotent.
type Order struct {
	ID       string   `json:"id"`
	Fence    int64    `json:"fence"`
	Versions []string `json:"versions"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// StaleFenceError reports that a target refused an order with an old fencing token.
type StaleFenceError struct {
	// HighestFence is the highest fencing token that the target has seen.
	HighestFence int64 `json:"fence"`
}

func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("order refused: the target has seen fencing token %d", e.HighestFence)
}

// Cancel ends a running stream. An unknown stream is not an error.
func (c *Client) Cancel(ctx context.Context, target Target, stream string) error {
	return c.call(ctx, http.MethodDelete, target.Address+"/v1/streams/"+stream, nil, nil)
}

type loadBody struct {
	AsOfUnixMS          int64 `json:"as_of_unix_ms"`
	Running             int   `json:"running"`
	Waiting             int   `json:"waiting"`
	QueuedPrefillTokens int   `json:"queued_prefill_tokens"`
	CacheUsedBlocks     int   `json:"cache_used_blocks"`
	CacheTotalBlocks    int   `json:"cache_total_blocks"`
}

// Load returns the load that the target publishes. It may be outdated.
func (c *Client) Load(ctx context.Context, target Target) (scheduler.LoadReport, error) {
	var body loadBody
	if err := c.call(ctx, http.MethodGet, target.Address+"/v1/load", nil, &body); err != nil {
		return scheduler.LoadReport{}, err
	}
	return scheduler.LoadReport{
		Target:              target.Name,
		AsOf:                time.UnixMilli(body.AsOfUnixMS),
		Running:             body.Running,
		Waiting:             body.Waiting,
		QueuedPrefillTokens: body.QueuedPrefillTokens,
		CacheUsedBlocks:     body.CacheUsedBlocks,
		CacheTotalBlocks:    body.CacheTotalBlocks,
	}, nil
}

type cacheEventsBody struct {
	Events []struct {
		Sequence int64    `json:"sequence"`
		Kind     string   `json:"kind"`
		Blocks   []string `json:"blocks"`
	} `json:"events"`
}

// CacheEvents returns the target's cache events after the sequence number.
func (c *Client) CacheEvents(ctx context.Context, target Target, after int64) ([]scheduler.CacheEvent, error) {
	var body cacheEventsBody
	url := target.Address + "/v1/cache_events?after=" + strconv.FormatInt(after, 10)
	if err := c.call(ctx, http.MethodGet, url, nil, &body); err != nil {
		return nil, err
	}
	events := make([]scheduler.CacheEvent, 0, len(body.Events))
	for _, e := range body.Events {
		kind, ok := cacheEventKinds[e.Kind]
		if !ok {
			continue
		}
		blocks, err := parseBlocks(e.Blocks)
		if err != nil {
			return nil, err
		}
		events = append(events, scheduler.CacheEvent{Sequence: e.Sequence, Kind: kind, Blocks: blocks})
	}
	return events, nil
}

var cacheEventKinds = map[string]scheduler.CacheEventKind{
	"stored":  scheduler.CacheStored,
	"removed": scheduler.CacheRemoved,
	"cleared": scheduler.CacheCleared,
}

func parseBlocks(blocks []string) ([]uint64, error) {
	parsed := make([]uint64, 0, len(blocks))
	for _, b := range blocks {
		hash, err := strconv.ParseUint(b, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("parse block hash %q: %w", b, err)
		}
		parsed = append(parsed, hash)
	}
	return parsed, nil
}

// State returns the target's versions, adapters and role.
func (c *Client) State(ctx context.Context, target Target) (State, error) {
	var state State
	err := c.call(ctx, http.MethodGet, target.Address+"/v1/state", nil, &state)
	return state, err
}

// Order sends a desired state. It returns a *StaleFenceError if the target
// checks fencing tokens and has seen a higher one.
func (c *Client) Order(ctx context.Context, target Target, order Order) error {
	return c.call(ctx, http.MethodPost, target.Address+"/v1/orders", order, nil)
}

// RefusesConnections reports whether the target refuses connections, as the host of
// a crashed process does. It returns false if the target responds, and also if the
// target cannot be reached until ctx ends, because the network may be partitioned.
func (c *Client) RefusesConnections(ctx context.Context, target Target) bool {
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.Address+"/v1/state", nil)
		if err != nil {
			return false
		}
		resp, err := c.manage.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			return false
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		// A process that is terminating may accept a connection and reset it.
		sleep(ctx, refusalPollInterval)
	}
	return false
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// call makes an idempotent management call.
func (c *Client) call(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	resp, err := c.manage.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes))
	if err != nil {
		return err
	}
	return decodeManagementResponse(resp.StatusCode, data, out)
}

func decodeManagementResponse(status int, data []byte, out any) error {
	switch {
	case status == http.StatusConflict:
		var stale StaleFenceError
		if err := json.Unmarshal(data, &stale); err != nil {
			return fmt.Errorf("decode refusal of an order: %w", err)
		}
		return &stale
	case status >= http.StatusBadRequest:
		return &ResponseError{Kind: ResponseStatus, Status: status}
	case out == nil || len(data) == 0:
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}
