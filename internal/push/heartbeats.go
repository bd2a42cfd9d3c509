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
	return false, true
}

// isLateHeartbeat reports whether a later heartbeat of the incarnation has arrived
// already. It takes the number from a heartbeat with which the numbers begin anew, so
// that the ledger takes it as well.
func (l *leader) isLateHeartbeat(a *graph.Announcement) bool {
	l.mu.Lock()
	order := l.heartbeatOrders[a.ID]
	if order == nil {
		order = &heartbeatOrder{}
		l.heartbeatOrders[a.ID] = order
	}
	late, anew := order.record(a.Seq)
	l.mu.Unlock()
	if late || anew {
		l.log.WithFields(logrus.Fields{
			"target": a.ID.ID,
			"seq":    a.Seq,
			"anew":   anew,
		}).Info("target: heartbeat out of order")
	}
	if anew {
		a.Seq = 0
	}
	return late
}
