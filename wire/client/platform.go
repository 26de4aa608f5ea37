package client

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"lentilstage.dev/wire/wire"
)

type (
	// Log is a client of the platform's append-only log service.
	Log struct {
		Address string
	}

	// InstanceList is a client of the platform's instance list.
	InstanceList struct {
		Address string
	}

	// Cloud is a client of the platform's cloud API.
	Cloud struct {
		Address string
	}

	// Engine is a client of the control interface of a model engine.
	Engine struct {
		Address string
	}
)

// Append appends the records in order and returns the offset of the first one. After an error
// other than a *StatusError the records may have been appended.
func (l Log) Append(deadline time.Time, stream string, records []wire.LogPayload) (int64, error) {
	var appended wire.LogAppendReply
	err := Call(deadline, fasthttp.MethodPost, l.Address, "/streams/"+stream+"/records", nil,
		wire.LogAppend{Records: records}, &appended)
	return appended.First, err
}

// Read returns up to limit records, starting at the offset from. If there is none yet, the log
// delays its answer for up to wait; the deadline must be later than that.
func (l Log) Read(deadline time.Time, stream string, from int64, limit int, wait time.Duration) (wire.LogPage, error) {
	var page wire.LogPage
	path := fmt.Sprintf("/streams/%s/records?from=%d&max=%d&wait=%d", stream, from, limit, wait.Milliseconds())
	err := Call(deadline, fasthttp.MethodGet, l.Address, path, nil, nil, &page)
	return page, err
}

// Info returns the log's description.
func (l Log) Info(deadline time.Time) (wire.LogInfo, error) {
	var info wire.LogInfo
	err := Call(deadline, fasthttp.MethodGet, l.Address, "/info", nil, nil, &info)
	return info, err
}

// Instances returns the current list.
func (l InstanceList) Instances(deadline time.Time) (wire.InstanceList, error) {
	var list wire.InstanceList
	err := Call(deadline, fasthttp.MethodGet, l.Address, "/instances", nil, nil, &list)
	return list, err
}

// Notices returns the reclaim notices, starting at the sequence number from.
func (c Cloud) Notices(deadline time.Time, from int64) (wire.Notices, error) {
	var notices wire.Notices
	err := Call(deadline, fasthttp.MethodGet, c.Address, fmt.Sprintf("/notices?from=%d", from), nil, nil, &notices)
	return notices, err
}

// Start orders an instance. A repeated order with the same ClientToken returns the same instance.
func (c Cloud) Start(deadline time.Time, order wire.StartOrder) (wire.Instance, error) {
	var instance wire.Instance
	err := Call(deadline, fasthttp.MethodPost, c.Address, "/instances", nil, order, &instance)
	return instance, err
}

// End terminates an instance. The cloud reports no error if the instance is already gone.
func (c Cloud) End(deadline time.Time, id string) error {
	return Call(deadline, fasthttp.MethodPost, c.Address, "/instances/"+id+"/end", nil, wire.EndOrder{ID: id}, nil)
}

// Instances returns the instances of the cloud account.
func (c Cloud) Instances(deadline time.Time) (wire.InstanceList, error) {
	var list wire.InstanceList
	err := Call(deadline, fasthttp.MethodGet, c.Address, "/instances", nil, nil, &list)
	return list, err
}

// Prices returns the current prices.
func (c Cloud) Prices(deadline time.Time) (wire.Prices, error) {
	var prices wire.Prices
	err := Call(deadline, fasthttp.MethodGet, c.Address, "/prices", nil, nil, &prices)
	return prices, err
}

// Load returns the engine's load report.
func (e Engine) Load(deadline time.Time) (wire.EngineLoad, error) {
	var load wire.EngineLoad
	err := Call(deadline, fasthttp.MethodGet, e.Address, "/load", nil, nil, &load)
	return load, err
}

// Events returns the cache events, starting at the sequence number from.
func (e Engine) Events(deadline time.Time, from int64) (wire.CacheEvents, error) {
	var events wire.CacheEvents
	err := Call(deadline, fasthttp.MethodGet, e.Address, fmt.Sprintf("/events?from=%d", from), nil, nil, &events)
	return events, err
}

// Cancel cancels an attempt.
func (e Engine) Cancel(deadline time.Time, attempt string) error {
	return Call(deadline, fasthttp.MethodPost, e.Address, "/cancel", nil, wire.CancelRequest{AttemptID: attempt}, nil)
}

// Export returns the KV cache of a running attempt.
func (e Engine) Export(deadline time.Time, attempt string) (wire.KVCache, error) {
	var cache wire.KVCache
	err := Call(deadline, fasthttp.MethodPost, e.Address, "/kv/export", nil, wire.KVExportRequest{AttemptID: attempt}, &cache)
	return cache, err
}

// Import sends an exported KV cache to the engine and returns its handle.
func (e Engine) Import(deadline time.Time, cache wire.KVCache) (string, error) {
	var imported wire.KVImportReply
	err := Call(deadline, fasthttp.MethodPost, e.Address, "/kv/import", nil, cache, &imported)
	return imported.Handle, err
}

// Order tells the engine to load or unload a version.
func (e Engine) Order(deadline time.Time, order wire.EngineOrder) (wire.EngineOrderReply, error) {
	var ordered wire.EngineOrderReply
	err := Call(deadline, fasthttp.MethodPost, e.Address, "/orders", nil, order, &ordered)
	return ordered, err
}
