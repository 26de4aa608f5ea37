package relay

import (
	"context"
	"time"

	"lentilstage.dev/decide/hubs"
)

// leaveRecordTimeout limits the write of a leaving daemon's record. With flushTimeout it stays below flushTime, in which
// the last responses are sent.
const leaveRecordTimeout = 150 * time.Millisecond

// announceLeave tells the other daemons and the log that this daemon uses its part of allowances, limits and the
// retry budget until a time. The others hold the part until then, whether they hear this daemon or not.
func (d *Daemon) announceLeave(at time.Time) {
	now := d.clock.now()
	if last := d.leavesAt.Swap(int64(at.Sub(d.startedAt))); last != 0 && time.Duration(last) <= d.age(now) {
		// Said before. The messages are repeated, since each may be lost.
		at = d.startedAt.Add(time.Duration(last))
		d.leavesAt.Store(last)
	}
	var targets []hubs.Report
	d.members.use(func(s *hubs.State) {
		s.AnnounceLeave(at, now)
		targets = s.LeaveTargets(now, d.random)
	})
	// The digest, or the sums, with the last counts go first: they must be applied before this daemon is removed.
	d.gossip.flush()
	for _, r := range targets {
		d.gossip.send(message{}, 0, target{r.Name, r.Address})
	}
	d.logger.WithName("members").Info("Leaving.", "At", at, "InMilliseconds", at.Sub(now).Milliseconds(), "Told", len(targets))
	d.meters.count("Leaves.Announced")
	ctx, cancel := context.WithTimeout(context.Background(), leaveRecordTimeout)
	defer cancel()
	if _, err := d.writeMember(ctx); err != nil {
		d.logger.WithName("members").Info("Leave not recorded.", "Error", err.Error())
	}
}

// applyLeaves records the planned ends of processes that a message names.
func (d *Daemon) applyLeaves(leaves []leave, now time.Time) {
	if len(leaves) == 0 {
		return
	}
	var news []hubs.Leave
	d.members.use(func(s *hubs.State) {
		for _, l := range leaves {
			if received := l.received(now); s.Leave(received, now) {
				news = append(news, received)
			}
		}
	})
	for _, l := range news {
		d.logger.WithName("members").Info("Daemon is leaving.", "Daemon", l.Name, "Incarnation", l.Incarnation, "At", l.At)
	}
	d.removeDeparted(now)
}

// removeDeparted removes the daemons whose processes use their parts no longer.
func (d *Daemon) removeDeparted(now time.Time) {
	var gone []hubs.Member
	remaining := map[string]int{}
	d.members.use(func(s *hubs.State) {
		if gone = s.Departures(now); len(gone) == 0 {
			return
		}
		for _, m := range s.Members() {
			remaining[m.DataCentre]++
		}
	})
	for _, m := range gone {
		d.tables.depart(m, remaining[m.DataCentre], now)
		d.clock.forget(m.Name)
		d.meters.count("Daemons.Left")
		d.logger.WithName("members").Info("Daemon left.", "Daemon", m.Name, "Incarnation", m.Incarnation, "Daemons", d.members.count())
	}
	if len(gone) > 0 {
		d.budget.resize(d.members.count())
	}
}
