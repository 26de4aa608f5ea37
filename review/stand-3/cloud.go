package main

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type (
	// cloud is the platform's API. It records every call. With none set, it has no replicas to give.
	cloud struct {
		record *record
		mutex  sync.Mutex
		calls  []dutyCall
		none   bool
	}

	// dutyCall is a call of a daemon that holds a duty.
	dutyCall struct {
		at           time.Time
		path, holder string
		fence        int64
		body         string
	}
)

// ServeHTTP accepts a call.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	fence, fenceErr := strconv.ParseInt(r.Header.Get(names["fence"]), 10, 64)
	if err != nil || fenceErr != nil || r.URL.Path != names["usage"] && r.URL.Path != names["capacity"] {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := dutyCall{at: time.Now(), path: r.URL.Path, holder: r.Header.Get(names["holder"]), fence: fence, body: string(body)}
	c.mutex.Lock()
	c.calls = append(c.calls, call)
	c.mutex.Unlock()
	c.record.line("platform: %s from %s, fence %d: %s", call.path, call.holder, call.fence, call.body)
	if c.none && call.path == names["capacity"] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// all returns the calls that were accepted, in their order.
func (c *cloud) all() []dutyCall {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]dutyCall(nil), c.calls...)
}

// last returns the last call.
func (c *cloud) last() (dutyCall, bool) {
	calls := c.all()
	if len(calls) == 0 {
		return dutyCall{}, false
	}
	return calls[len(calls)-1], true
}
