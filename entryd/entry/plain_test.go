package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"lentilstage.dev/decide/claim"
	"lentilstage.dev/decide/retry"
	"lentilstage.dev/domain/codes"
	"lentilstage.dev/domain/value"
	"lentilstage.dev/wire/client"
	"lentilstage.dev/wire/wire"
)

// newCallRetrier returns a retrier that sends to the addresses in turn, with a retry budget of the
// given size.
func newCallRetrier(t *testing.T, allowed int, addresses ...string) callRetrier {
	t.Helper()
	settings := retry.DefaultSettings()
	settings.MinRetries, settings.BudgetFraction = allowed, 0
	budget := retry.New(settings)
	choices := 0
	return callRetrier{
		choose: func(value.Set[string]) (target, *codes.Refusal) {
			if choices == len(addresses) {
				return target{}, codes.Refuse(codes.NoEndpoint, "no endpoint is left")
			}
			choices++
			return target{Instance: wire.Instance{ID: addresses[choices-1], Address: addresses[choices-1]}}, nil
		},
		send: func(call wire.CallRequest, chosen target) (wire.CallReply, error) {
			status, body, err := client.CallPlain(call.Deadline, chosen.Instance.Address, call.Method, call.Path, nil, call.Body)
			return wire.CallReply{Status: status, Body: body}, err
		},
		onFailure:    func(target, error) {},
		countRequest: func(string) {},
		next: func(a retry.Attempt, _ string) (time.Time, *codes.Refusal) {
			_, commands := budget.Update(retry.Ended{Time: time.Now(), Attempt: a})
			if g, ok := commands[0].(retry.GiveUp); ok {
				return time.Time{}, g.Refusal
			}
			return commands[0].(retry.Retry).At, nil
		},
		now: time.Now,
	}
}

// TestRepeatableCallIsRetried guards against a repeatable call that fails with its first endpoint
// although the budget allows another attempt, and against a refusal without "not run" although no
// attempt has opened a connection.
func TestRepeatableCallIsRetried(t *testing.T) {
	_, address := startService(t)
	closed := closedAddress(t)
	request := order("", 20*time.Second)
	if reply := newCallRetrier(t, 0, closed, address).run(request); !claim.GuaranteesNotRun(reply) {
		t.Errorf("reply without budget is %+v, want not run", reply)
	}
	if reply := newCallRetrier(t, 1, closed, address).run(request); reply.Status != http.StatusCreated {
		t.Errorf("reply is %+v, want the answer of the second endpoint", reply)
	}
}

// startCuttingService returns the address of a service that closes each connection after it has
// read the request.
func startCuttingService(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestSentCallHasUnknownOutcome guards against a refusal that says "not run" after an attempt has
// reached an endpoint and its answer was lost, whatever ends the call.
func TestSentCallHasUnknownOutcome(t *testing.T) {
	cut := startCuttingService(t)
	closed := closedAddress(t)
	cases := map[string]callRetrier{
		"no retry budget":                   newCallRetrier(t, 0, cut),
		"no other endpoint":                 newCallRetrier(t, 1, cut),
		"next endpoint refuses connections": newCallRetrier(t, 1, cut, closed),
	}
	for name, r := range cases {
		if reply := r.run(order("", 20*time.Second)); reply.Code == 0 || claim.GuaranteesNotRun(reply) {
			t.Errorf("%s: reply is %+v, want an unknown outcome", name, reply)
		}
	}
}
