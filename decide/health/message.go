package health

import (
	"time"

	"lentilstage.dev/domain/event"
)

type (
	// Message is an input of the aggregate. Each message carries its time.
	Message interface {
		when() time.Time
	}

	// Listing lists the live endpoints, without those that are leaving.
	Listing struct {
		Time      time.Time
		Endpoints []Member
	}

	// Member is an endpoint of a listing.
	Member struct {
		Instance   string
		DataCentre string
		Routes     []string
		// Incarnation changes when a new process starts under the instance's name; 0 if unknown.
		Incarnation int64
	}

	// Heartbeat reports that a load report was received from the endpoint. For endpoints without load
	// reports, send it for any other evidence that they are alive, so that they don't count as silent.
	Heartbeat struct {
		Time     time.Time
		Instance string
	}

	// Sent reports that a request is sent to the endpoint. It uses one probe if the endpoint is probing.
	Sent struct {
		Time     time.Time
		Instance string
	}

	// Outcome reports the end of an attempt if it says something about the endpoint's health. Announced
	// reclaims and crashes attributed to a request are not reported here.
	Outcome struct {
		Time     time.Time
		Instance string
		Route    string
		Version  string
		Kind     OutcomeKind
		// Predicted and Actual are the predicted and the actual time to the first token of a success. A
		// success without a prediction never counts as slow.
		Predicted time.Duration
		Actual    time.Duration
	}

	// OutcomeKind is the way in which an attempt ended.
	OutcomeKind string

	// Tick reports the current time. Send it at least every second.
	Tick struct {
		Time time.Time
	}

	// Command is an output of the aggregate.
	Command interface {
		command()
	}

	// Changed reports the new status of an endpoint, for the views and the event buffer.
	Changed struct {
		Instance string
		Status   Status
		Reason   Cause
		Numbers  []event.Number
	}

	// Attributed assigns failures to their cause: they count against the version, or are excluded because
	// the data centre was lost.
	Attributed struct {
		Instance string
		Route    string
		Version  string
		Cause    Attribution
		Failures int
	}

	// DataCentreChanged reports that a data centre was lost or has recovered.
	DataCentreChanged struct {
		DataCentre string
		Lost       bool
		Numbers    []event.Number
	}

	// Attribution is what a failure counts against.
	Attribution string

	// Cause is the reason for a change of an endpoint's status.
	Cause string

	// State is an endpoint's health state.
	State string

	// Status is the health status of an endpoint.
	Status struct {
		State State
		// AvoidUntil is the time at which an avoided endpoint is probed.
		AvoidUntil time.Time
		// Probes is the number of requests that may still be sent while probing.
		Probes int
		// Penalty is added to the predicted time of a doubted endpoint.
		Penalty time.Duration
	}
)

const (
	// Succeeded means that the endpoint answered.
	Succeeded OutcomeKind = "Succeeded"
	// Failed means that the endpoint answered with an error of its own.
	Failed OutcomeKind = "Failed"
	// Unreachable means that the connection failed or was interrupted.
	Unreachable OutcomeKind = "Unreachable"
	// TimedOut means that the endpoint sent nothing in time. It counts as slow and not as a failure,
	// since overload makes healthy endpoints time out together.
	TimedOut OutcomeKind = "TimedOut"
	// Overtaken means that the attempt was cancelled because a copy of the request was answered first. It is no
	// failure. It counts only if the attempt was slow already, which Actual, the time until then, shows.
	Overtaken OutcomeKind = "Overtaken"

	// ToVersion and ToDataCentre are the attributions of a failure.
	ToVersion    Attribution = "Version"
	ToDataCentre Attribution = "DataCentre"

	// Healthy endpoints receive requests.
	Healthy State = "Healthy"
	// Avoided endpoints receive no requests until a deadline.
	Avoided State = "Avoided"
	// Probing endpoints receive a few requests.
	Probing State = "Probing"
	// Doubted endpoints are unhealthy but receive requests with a penalty, because too many endpoints of
	// a route are out of rotation already.
	Doubted State = "Doubted"

	// Failing, Slow and Silent are the causes of bad health. After DeadlineReached an avoided endpoint is
	// probed. With BoundReached an endpoint returns to rotation as doubted, because too many are out.
	Failing         Cause = "Failing"
	Slow            Cause = "Slow"
	Silent          Cause = "Silent"
	ProbeFailed     Cause = "ProbeFailed"
	DeadlineReached Cause = "DeadlineReached"
	Recovered       Cause = "Recovered"
	BoundReached    Cause = "BoundReached"
)

// Blocked reports whether the endpoint must not receive requests now.
func (s Status) Blocked() bool {
	return s.State == Avoided || s.State == Probing && s.Probes == 0
}

func (m Listing) when() time.Time   { return m.Time }
func (m Heartbeat) when() time.Time { return m.Time }
func (m Sent) when() time.Time      { return m.Time }
func (m Outcome) when() time.Time   { return m.Time }
func (m Tick) when() time.Time      { return m.Time }

func (Changed) command()           {}
func (Attributed) command()        {}
func (DataCentreChanged) command() {}
