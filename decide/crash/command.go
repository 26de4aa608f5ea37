package crash

import "lentilstage.dev/domain/table"

type (
	// Command is one of Charge, Attribute, Retry, Quarantine and Refuse.
	Command interface{ crashCommand() }

	// Charge counts a crash against the version, as one of its own failures in each scope.
	Charge struct {
		ID       string
		Version  string
		Endpoint string
		Scopes   []Scope
		// Attributed is set if the crash was attributed to a request that has since completed and so
		// did not cause it. Counters never decrease, so the crash is counted as a failure once more.
		Attributed bool
	}

	// Attribute counts a crash against a request's account, and as caused by a request in each scope.
	Attribute struct {
		ID          string
		Version     string
		Endpoint    string
		Scopes      []Scope
		Fingerprint string
		Account     string
		// Charged is set if the crash was charged to the version before. It is then also counted as
		// excused, which is subtracted from the version's failures.
		Charged bool
		// Peer is set if a peer attributed the crash. The command is not sent to peers again.
		Peer bool
	}

	// Retry sends a request that was in flight at a crash to another endpoint.
	Retry struct {
		RequestID   string
		Fingerprint string
		// Avoid lists the endpoints where the request was in flight at a crash.
		Avoid []string
		// AvoidVersion is the version that the request ran on, if traffic is being moved to it, or
		// empty. An endpoint of another version is preferred: its result shows whether the request or
		// the version caused the crash.
		AvoidVersion string
		// Isolated is set if no other suspect may run at the endpoint; see State.Candidates.
		Isolated bool
	}

	// Quarantine quarantines a request. It is sent to peers immediately and appended to the log.
	Quarantine struct {
		Entry table.Quarantine
		// Cancel lists the endpoints at which other copies of the request run.
		Cancel []string
	}

	// Refuse rejects a request with the code Quarantined.
	Refuse struct {
		RequestID string
		Entry     table.Quarantine
	}
)

func (Charge) crashCommand()     {}
func (Attribute) crashCommand()  {}
func (Retry) crashCommand()      {}
func (Quarantine) crashCommand() {}
func (Refuse) crashCommand()     {}
