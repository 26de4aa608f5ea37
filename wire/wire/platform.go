package wire

import (
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Role is the type of process that runs on an instance.
	Role string

	// Market defines whether the cloud may reclaim an instance.
	Market string

	// InstanceState is the state of an instance on the instance list.
	InstanceState string

	// Instance is an instance with the endpoint or daemon that runs on it.
	Instance struct {
		ID         string `json:"Id"`
		Role       Role   `json:"Role"`
		Region     string `json:"Region,omitempty"`
		DataCentre string `json:"DataCentre"`
		// Address is the HTTP address in the form IP:port.
		Address string `json:"Address"`
		// PeerAddress is the address for calls from other daemons; entry instances only.
		PeerAddress string        `json:"PeerAddress,omitempty"`
		State       InstanceState `json:"State"`
		// LeaveDeadline is the time at which a leaving instance stops.
		LeaveDeadline time.Time `json:"LeaveDeadline,omitzero"`
		Class         string    `json:"Class,omitempty"`
		Market        Market    `json:"Market,omitempty"`
		// Versions are the endpoint versions that the instance has loaded.
		Versions []string `json:"Versions,omitempty"`
		// Owner and ClientToken are the values from the start order.
		Owner       string `json:"Owner,omitempty"`
		ClientToken string `json:"ClientToken,omitempty"`
		// PricePerHour is the price of the instance in price units per hour.
		PricePerHour float64   `json:"PricePerHour,omitempty"`
		Started      time.Time `json:"Started,omitzero"`
	}

	// InstanceList is the platform's list of instances. GET /instances on the instance list
	// service.
	InstanceList struct {
		// Version increases with each change of the list.
		Version   int64      `json:"Version"`
		Time      time.Time  `json:"Time"`
		Instances []Instance `json:"Instances"`
	}

	// StartOrder orders an instance from the cloud. POST /instances on the cloud API.
	// A repeated order with the same ClientToken returns the same instance.
	StartOrder struct {
		ClientToken string `json:"ClientToken"`
		Owner       string `json:"Owner"`
		Role        Role   `json:"Role"`
		DataCentre  string `json:"DataCentre"`
		Class       string `json:"Class"`
		Market      Market `json:"Market"`
		Version     string `json:"Version,omitempty"`
	}

	// EndOrder terminates an instance. POST /instances/{id}/end on the cloud API.
	EndOrder struct {
		ID string `json:"Id"`
	}

	// Price is the price of an instance by data centre, class and market, in price units per hour.
	Price struct {
		DataCentre string  `json:"DataCentre"`
		Class      string  `json:"Class"`
		Market     Market  `json:"Market"`
		PerHour    float64 `json:"PerHour"`
	}

	// Prices is the reply to GET /prices on the cloud API.
	Prices struct {
		Prices []Price `json:"Prices"`
	}

	// Notice announces that the cloud will reclaim an instance.
	Notice struct {
		Sequence   int64  `json:"Sequence"`
		Instance   string `json:"Instance"`
		DataCentre string `json:"DataCentre"`
		// Deadline is the time at which the instance stops.
		Deadline time.Time `json:"Deadline"`
	}

	// Notices is the reply to GET /notices?from=N on the cloud API.
	Notices struct {
		Notices []Notice `json:"Notices"`
		Next    int64    `json:"Next"`
	}
)

const (
	// RoleEntry, RoleEngine and RolePlain are the roles of instances.
	RoleEntry  Role = "Entry"
	RoleEngine Role = "Engine"
	RolePlain  Role = "Plain"

	// Reclaimable and OnDemand are the markets.
	Reclaimable Market = "Reclaimable"
	OnDemand    Market = "OnDemand"

	// Starting, Live and Leaving are the states of instances.
	Starting InstanceState = "Starting"
	Live     InstanceState = "Live"
	Leaving  InstanceState = "Leaving"
)

// Check returns an error if the order lacks a field that the cloud requires.
func (o StartOrder) Check() error {
	if o.ClientToken == "" || o.Owner == "" || o.DataCentre == "" {
		return eris.New("a start order needs ClientToken, Owner and DataCentre")
	}
	if o.Market != Reclaimable && o.Market != OnDemand {
		return eris.Errorf("Market %q is neither Reclaimable nor OnDemand", o.Market)
	}
	return nil
}
