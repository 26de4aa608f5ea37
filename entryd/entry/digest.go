package entry

import (
	"lentilstage.dev/decide/crash"
	"lentilstage.dev/decide/limit"
	"lentilstage.dev/domain/table"
	"lentilstage.dev/wire/wire"
)

// describe returns the entry of this daemon for its digests.
func (d *Daemon) describe() wire.DigestEntry {
	return wire.DigestEntry{
		Next:         d.control.Next(),
		TailDeadline: d.control.TailDeadline(),
		Draining:     d.draining.Load(),
		Uses:         d.limits.accountUses(),
		Placements:   d.endpoints.placements(),
		Evidence:     d.rollouts.evidence(),
	}
}

// applyDigestUpdate applies the result of a digest to the other parts of the daemon.
func (d *Daemon) applyDigestUpdate(n digestUpdate) {
	state := d.members.snapshot()
	now := d.base.Now()
	for _, process := range n.died {
		d.endpoints.removePeer(process)
	}
	for _, process := range n.updated {
		if entry, ok := state.Entry(process); ok {
			d.endpoints.setPeerPlacements(process, entry.Placements)
		}
	}
	for _, alarm := range n.alarms {
		d.applyAlarm(alarm)
	}
	var peers []limit.PeerUse
	for _, process := range state.Live(now) {
		if entry, ok := state.Entry(process); ok && process != d.base.Settings.Name {
			d.rollouts.mergeEvidence(entry)
			peers = append(peers, limit.PeerUse{Process: process, At: state.LastReceived(process), Uses: entry.Uses})
		}
	}
	d.limits.update(limit.Peers{Time: now, Entries: peers})
}

// applyAlarm applies a peer's alarm: a stopped version move or a quarantined request.
func (d *Daemon) applyAlarm(alarm wire.Alarm) {
	switch alarm.Kind {
	case alarmVersion:
		d.rollouts.stopMove(alarm.Subject, alarm.Reason)
	case alarmQuarantine:
		d.crashes.receiveNotice(wire.CrashNotice{Quarantine: &table.Quarantine{
			Fingerprint: alarm.Subject, Account: alarm.Account, Crashes: crash.MaxCrashes, Deadline: alarm.Deadline,
		}})
	}
}
