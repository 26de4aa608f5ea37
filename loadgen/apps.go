package main

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// executionSummary compares the outcomes that callers of unrepeatable calls received with
	// the executions at the services.
	executionSummary struct {
		Keys     int `json:"Keys"`
		Executed int `json:"Executed"`
		// Doubled counts keys that were executed more than once.
		Doubled int `json:"Doubled"`
		// RanAfterNotRun counts executed keys whose callers received "not run".
		RanAfterNotRun int `json:"RanAfterNotRun"`
		// MissingAfterDone counts keys without an execution whose callers received a complete answer.
		MissingAfterDone int `json:"MissingAfterDone"`
		// UnknownRun and UnknownNotRun split the unknown outcomes by whether the call ran.
		UnknownRun    int `json:"UnknownRun"`
		UnknownNotRun int `json:"UnknownNotRun"`
	}
)

// executionsTimeout limits the request to one stand-in.
const executionsTimeout = 5 * time.Second

// checkApps reads the executions of the appd stand-ins and compares them with the outcomes.
func (r *report) checkApps(addresses []string) error {
	counts := map[string]int{}
	client := &http.Client{Timeout: executionsTimeout}
	for _, address := range addresses {
		if err := addExecutions(client, address, counts); err != nil {
			return err
		}
	}
	r.compareExecutions(counts)
	return nil
}

func addExecutions(client *http.Client, address string, counts map[string]int) error {
	response, err := client.Get("http://" + address + "/admin/executions")
	if err != nil {
		return eris.Wrap(err, "executions")
	}
	defer func() { _ = response.Body.Close() }()
	var executed map[string]int
	if err := json.NewDecoder(response.Body).Decode(&executed); err != nil || response.StatusCode != http.StatusOK {
		return eris.Errorf("executions: %s answers status %d", address, response.StatusCode)
	}
	for key, count := range executed {
		counts[key] += count
	}
	return nil
}

func (r *report) compareExecutions(counts map[string]int) {
	e := &executionSummary{Keys: len(r.Orders)}
	for _, o := range r.Orders {
		count := counts[o.Key]
		if count > 0 {
			e.Executed++
		}
		if count > 1 {
			e.Doubled++
			r.fault("key " + o.Key + " was executed more than once")
		}
		switch {
		case o.Outcome == outcomeRefused && count > 0:
			e.RanAfterNotRun++
			r.fault("key " + o.Key + " was executed, its caller was told that it was not run")
		case o.Outcome == outcomeComplete && count == 0:
			e.MissingAfterDone++
			r.fault("key " + o.Key + " was not executed, its caller was told that it was")
		case o.Outcome == outcomeUnknown && count > 0:
			e.UnknownRun++
		case o.Outcome == outcomeUnknown:
			e.UnknownNotRun++
		}
	}
	r.Executions = e
}

func (e executionSummary) hasViolations() bool {
	return e.Doubled > 0 || e.RanAfterNotRun > 0 || e.MissingAfterDone > 0
}
