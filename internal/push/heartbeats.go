package push

import (
	"github.com/sirupsen/logrus"

	"github.com/jasmineward/jasmineward/internal/graph"
)

// maxLateInOrder is how many heartbeats with rising numbers below the highest one may
// come in a row. More of them are the true ones, and the highest was another writer's.
const maxLateInOrder = 3

// heartbeatOrder tells late heartbeats of one incarnation from newer ones by their
// numbers.
type heartbeatOrder struct {
	highest uint64
	// late is the last number below the highest, and lateInOrder counts those that
	// rose one after the other.
	late        uint64
	lateInOrder int
	// begunAnew is true once the numbers have begun anew.
	begunAnew bool
}

// record records the number of a heartbeat that has arrived. It reports whether the
// heartbeat is late, and whether the numbers begin anew with it.
func (o *heartbeatOrder) record(seq uint64) (late, anew bool) {
	switch {
	case seq == 0:
		return false, false
	case seq >= o.highest:
		o.highest = seq
		o.lateInOrder = 0
		return false, false
	case seq <= o.late:
		o.lateInOrder = 0
	}
	o.late = seq
	o.lateInOrder++
	if o.lateInOrder <= maxLateInOrder {
		return true, false
	}
	o.highest = seq
	o.lateInOrder = 0
	o.begunAnew = true
	return false, true
}

// overrules reports whether the number is from before the numbers began anew.
func (o *heartbeatOrder) overrules(seq uint64) bool {
	return o.begunAnew && seq > o.highest
}

// isLateHeartbeat reports whether a later heartbeat of the incarnation has arrived
// already, here or at an earlier leader that has recorded its number. As long as the
// recorded number is from before the numbers began anew, it takes the number from the
// heartbeat, so that the ledger takes what it says.
func (l *leader) isLateHeartbeat(a *graph.Announcement, recorded uint64) bool {
	l.mu.Lock()
	order := l.heartbeatOrders[a.ID]
	if order == nil {
		order = &heartbeatOrder{highest: recorded}
		l.heartbeatOrders[a.ID] = order
	}
	late, anew := order.record(a.Seq)
	overruled := anew || !late && order.overrules(recorded)
	l.mu.Unlock()
	if late || anew {
		l.log.WithFields(logrus.Fields{
			"target": a.ID.ID,
			"seq":    a.Seq,
			"anew":   anew,
		}).Info("target: heartbeat out of order")
	}
	if overruled {
		a.Seq = 0
	}
	return late
}
