package itest

import (
	"fmt"
	"net/http"
	"testing"

	"lentilstage.dev/domain/codes"
	"lentilstage.dev/wire/wire"
)

// TestAnotherAccountCannotRead guards against an answer that another client account can read or
// resume at any daemon, during the stream or after its end.
func TestAnotherAccountCannotRead(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{daemons: 3, engines: 2})
	request := newChat(c.addresses()[:1], "spec-match", "a confidential specification", 80)
	request.onToken = func(count int) {
		if count == 20 {
			c.checkOtherAccountRefused(request)
		}
	}
	if err := request.run(); err != nil {
		t.Fatal(err)
	}
	if request.reconnects != 0 {
		t.Errorf("the caller had to reconnect %d times", request.reconnects)
	}
	c.checkOtherAccountRefused(request)
}

// checkOtherAccountRefused checks that every daemon refuses to return the events of a request to the
// studio account, from the start and from the last received event.
func (c *cluster) checkOtherAccountRefused(request *chat) {
	c.t.Helper()
	for _, d := range c.daemons {
		for _, last := range []string{"", request.lastID} {
			if err := readEventsAs(d, studioKey, request.id, last); refusalCode(err) != codes.RequestUnknown {
				c.t.Errorf("%s answered the other account with %v, want the code RequestUnknown", d.name, err)
			}
		}
	}
}

// readEventsAs requests the events of a request with an API key and returns the error. A successful
// response is also an error.
func readEventsAs(daemon *process, key, id, lastEventID string) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+daemon.address()+"/v1/requests/"+id+"/events", http.NoBody)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	if lastEventID != "" {
		request.Header.Set(wire.HeaderLastEventID, lastEventID)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return readRefusal(response)
}
