package wire

import (
	"time"

	"github.com/rotisserie/eris"

	"lentilstage.dev/domain/event"
	"lentilstage.dev/domain/table"
)

type (
	// TableView is the table that a daemon currently uses. GET /operator/table.
	TableView struct {
		Process string `json:"Process"`
		// State is the folded state of the Control stream.
		State table.State `json:"State"`
	}

	// ChangeRequest publishes a change. POST /operator/changes. It is idempotent: a repeated
	// request with the same ID has no effect.
	ChangeRequest struct {
		ID    string       `json:"Id"`
		Edits []table.Edit `json:"Edits"`
	}

	// ChangeStatus is the status of a change.
	ChangeStatus string

	// ChangeResult is the reply to a ChangeRequest.
	ChangeResult struct {
		ID      string        `json:"Id"`
		Status  ChangeStatus  `json:"Status"`
		Outcome table.Outcome `json:"Outcome"`
		// Missing lists the daemons that have not confirmed the change; Pending only.
		Missing []string `json:"Missing,omitempty"`
		// Warnings are messages to the operator, for example about a deadline that leaves little
		// time for a version move.
		Warnings []string `json:"Warnings,omitempty"`
	}

	// EndpointStatus is a daemon's view of one endpoint.
	EndpointStatus struct {
		Instance   string   `json:"Instance"`
		DataCentre string   `json:"DataCentre"`
		Versions   []string `json:"Versions"`
		State      string   `json:"State"`
		InFlight   int      `json:"InFlight"`
		Reason     string   `json:"Reason,omitempty"`
		// Evacuated is set if the endpoint's data centre is evacuated.
		Evacuated bool `json:"Evacuated,omitempty"`
	}

	// PeerStatus is a daemon's view of another daemon.
	PeerStatus struct {
		Process string `json:"Process"`
		// Address is the HTTP address of the peer, which also serves its timeline.
		Address    string `json:"Address"`
		DataCentre string `json:"DataCentre"`
		Alive      bool   `json:"Alive"`
		Next       int64  `json:"Next"`
		// Heard is the time at which the newest digest entry of the peer was received.
		Heard time.Time `json:"Heard,omitzero"`
	}

	// DaemonStatus is the reply to GET /operator/status.
	DaemonStatus struct {
		Process     string           `json:"Process"`
		Incarnation string           `json:"Incarnation"`
		DataCentre  string           `json:"DataCentre"`
		Time        time.Time        `json:"Time"`
		Next        int64            `json:"Next"`
		Serving     bool             `json:"Serving"`
		Reason      string           `json:"Reason,omitempty"`
		Owned       int              `json:"Owned"`
		Held        int              `json:"Held"`
		Endpoints   []EndpointStatus `json:"Endpoints"`
		Peers       []PeerStatus     `json:"Peers"`
	}

	// Timeline is the reply to GET /operator/timeline?after=N.
	Timeline struct {
		Process string        `json:"Process"`
		Events  []event.Event `json:"Events"`
	}
)

const (
	// ChangeAccepted means that the change is in effect at every serving daemon.
	ChangeAccepted ChangeStatus = "Accepted"
	// ChangePending means that the change is in the log but some daemons have not confirmed it.
	ChangePending ChangeStatus = "Pending"
	// ChangeClash means that the change was rejected because another change of the same rows came
	// first.
	ChangeClash ChangeStatus = "Clash"
	// ChangeInvalid means that the change was rejected because the table would be invalid.
	ChangeInvalid ChangeStatus = "Invalid"
	// ChangeUnknown means that the log has not confirmed whether it appended the change.
	ChangeUnknown ChangeStatus = "Unknown"
)

// Check returns an error if the change has no identifier, has no edits, or has a malformed edit.
func (r ChangeRequest) Check() error {
	if r.ID == "" {
		return eris.New("Id is missing")
	}
	if len(r.Edits) == 0 {
		return eris.New("the change has no edits")
	}
	for _, e := range r.Edits {
		if err := e.Check(); err != nil {
			return err
		}
	}
	return nil
}
