package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/wire/wire"
)

const (
	// mirrorPeriod is the time between two reads of the cloud API, and mirrorTimeout the time
	// limit of one read.
	mirrorPeriod  = 100 * time.Millisecond
	mirrorTimeout = 2 * time.Second
)

// mirror copies the cloud API's instances into the list until the context ends. A failed
// read leaves the list unchanged.
func (s *service) mirror(ctx context.Context) {
	ticker := time.NewTicker(mirrorPeriod)
	defer ticker.Stop()
	for {
		if instances, err := s.readCloud(ctx); err == nil {
			s.instanceList.replaceMirrored(instances, time.Now())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// readCloud returns the instances that have an address and are live or leaving.
func (s *service) readCloud(ctx context.Context) ([]wire.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.cloud+"/instances", nil)
	if err != nil {
		return nil, eris.Wrap(err, "cloud")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "cloud")
	}
	defer func() { _ = response.Body.Close() }()
	var list wire.InstanceList
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return nil, eris.Wrap(err, "cloud")
	}
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("cloud: status %d", response.StatusCode)
	}
	var listed []wire.Instance
	for _, i := range list.Instances {
		if i.Address != "" && i.State != wire.Starting {
			listed = append(listed, i)
		}
	}
	return listed, nil
}
