package main

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// weightsRetryWait is the wait before the next try if the store sends no Retry-After.
const weightsRetryWait = 200 * time.Millisecond

// readWeights reads the artefact from the weight store. It retries after the time that the store
// asks for until the context ends. An unknown name is an error.
func readWeights(ctx context.Context, address, name string) error {
	for {
		wait, err := fetchWeights(ctx, address, name)
		if err != nil || wait == 0 {
			return err
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// fetchWeights tries one read. It returns the time to wait before the next try, or 0 after a complete
// read.
func fetchWeights(ctx context.Context, address, name string) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/weights/"+url.PathEscape(name), nil)
	if err != nil {
		return 0, eris.Wrap(err, "read weights")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return weightsRetryWait, nil
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return weightsRetryWait, nil
		}
		return 0, nil
	case http.StatusNotFound:
		return 0, eris.Errorf("weights %s are not in the store", name)
	}
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return weightsRetryWait, nil
	}
	return time.Duration(seconds) * time.Second, nil
}
