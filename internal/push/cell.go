package push

import (
	"context"
	"time"

	"github.com/jasmineward/jasmineward/internal/group"
	"github.com/jasmineward/jasmineward/internal/wire"
	"github.com/jasmineward/jasmineward/pkg/raft"
)

// cell is what the leader and the relays need of the instances that replicate the log.
type cell interface {
	// Propose commits a command and returns the result of applying it.
	Propose(ctx context.Context, data []byte) (any, error)
	// Read returns once the ledger is up to date for a linearizable read.
	Read(ctx context.Context) error
	// HoldsLease reports whether this instance is certain to be the only leader now.
	HoldsLease() bool
	// Address returns the address of this instance, and Clock a reading of its clock.
	Address() string
	Clock() wire.ProcessClock
	// Peers returns the other members, and LiveAddresses the addresses of the instances
	// that were heard from within the time.
	Peers() []raft.Member
	LiveAddresses(within time.Duration) []string
	// Ping returns a reading of the clock of the instance at the address.
	Ping(address string, limit time.Duration) (wire.ProcessClock, error)
	// AnnounceLeadership tells the instances that were heard from within the time.
	AnnounceLeadership(within time.Duration)
	// Order and Advise have the instance at the address make a call.
	Order(ctx context.Context, address string, args *OrderArgs, limit time.Duration) (wire.Reply[OrderReply], error)
	Advise(ctx context.Context, address string, args *AdviseArgs, limit time.Duration) (wire.Reply[Advice], error)
	// RecallAdvice asks the instance at the address for the advisor's answers that it has.
	RecallAdvice(ctx context.Context, address string, limit time.Duration) (wire.Reply[[]RecalledAnswer], error)
}

// hostedCell implements cell by the host of a group.
type hostedCell struct {
	*group.Host
}

var _ cell = hostedCell{}

// Propose commits a command and returns the result of applying it.
func (c hostedCell) Propose(ctx context.Context, data []byte) (any, error) {
	return c.Replica().Propose(ctx, data)
}

// Read returns once the ledger is up to date for a linearizable read.
func (c hostedCell) Read(ctx context.Context) error {
	return c.Replica().Read(ctx)
}

// HoldsLease reports whether this instance is certain to be the only leader now.
func (c hostedCell) HoldsLease() bool {
	return c.Replica().HoldsLease()
}

// Order has the instance at the address send an order to a target.
func (c hostedCell) Order(
	ctx context.Context, address string, args *OrderArgs, limit time.Duration,
) (wire.Reply[OrderReply], error) {
	return group.CallAddress[OrderArgs, OrderReply](ctx, c.Host, address, methodOrder, args, limit)
}

// Advise has the instance at the address call the advisor.
func (c hostedCell) Advise(
	ctx context.Context, address string, args *AdviseArgs, limit time.Duration,
) (wire.Reply[Advice], error) {
	return group.CallAddress[AdviseArgs, Advice](ctx, c.Host, address, methodAdvise, args, limit)
}

// RecallAdvice asks the instance at the address for the advisor's answers that it has.
func (c hostedCell) RecallAdvice(
	ctx context.Context, address string, limit time.Duration,
) (wire.Reply[[]RecalledAnswer], error) {
	return group.CallAddress[Empty, []RecalledAnswer](ctx, c.Host, address, methodRecall, &Empty{}, limit)
}
