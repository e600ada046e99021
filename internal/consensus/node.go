package consensus

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// callTimeout is the limit for a short call to another member.
const callTimeout = 700 * time.Millisecond

// Machine is the replicated state machine. All calls come from one goroutine of the node and must not block. Snapshot
// must depend on the applied entries alone, so that it is the same at all voters.
type Machine interface {
	Apply(index uint64, entry []byte)
	Snapshot() []byte
	Restore(index uint64, snapshot []byte) error
}

// Handler answers other members' calls. It runs concurrently on goroutines of the transport. The hint of a returned
// error is sent to the caller.
type Handler func(ctx context.Context, from, method string, body []byte) ([]byte, error)

// Node is one member. Its methods may be called from any goroutine.
type Node struct {
	cfg        Config
	machine    Machine
	handler    Handler
	log        *slog.Logger
	transport  *transport
	ctx        context.Context // ends with Close
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	machineIndex uint64 // last entry applied to machine, see replica; owned by the runner's goroutine

	leader           atomic.Pointer[LeaderInfo]
	leaderChanged    chan struct{} // capacity 1
	leaderAnsweredAt atomic.Int64  // when the leader last answered a call, Unix nanoseconds
	leaderSuspect    chan struct{} // capacity 1; signaled when a call to the leader fails

	runner          atomic.Pointer[runner]
	status          atomic.Pointer[memberStatus] // nil before the folder is open
	prepareRequests chan prepareRequest
	dropped         atomic.Int64
	ownsAddress     atomic.Bool // this process listens at the member's address

	mu       sync.Mutex
	role     Role
	fault    error
	awaiting string
}

// Start starts a member. It fails on invalid settings and on a folder that cannot be trusted (*ConfigError,
// *ForeignFolder, *CorruptFolder). Later faults are logged and reported by Status, and the member stays a reader.
func Start(cfg Config, machine Machine, handler Handler, log *slog.Logger) (*Node, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return start(cfg, machine, handler, log)
}

// start is Start for settings that have been completed and validated.
func start(cfg Config, machine Machine, handler Handler, log *slog.Logger) (*Node, error) {
	n := &Node{
		cfg:             cfg,
		machine:         machine,
		handler:         handler,
		log:             log,
		leaderChanged:   make(chan struct{}, 1),
		leaderSuspect:   make(chan struct{}, 1),
		prepareRequests: make(chan prepareRequest),
		role:            Reader,
	}
	n.leader.Store(&LeaderInfo{})
	n.transport = newTransport(&n.cfg, log)
	n.transport.serve = n.serve
	n.ctx, n.stop = context.WithCancel(context.Background())
	if cfg.Listen != "" {
		if err := n.startCandidate(); err != nil {
			n.stop()
			return nil, err
		}
	}
	n.goroutines.Add(1)
	go n.watchLeader()
	return n, nil
}

// startCandidate opens the folder and the address of a member that may hold a vote. If another process still has
// either of them, or the folder cannot be written now, the voter's goroutine retries.
func (n *Node) startCandidate() error {
	store, err := openStore(n.cfg.Folder, n.cfg.Cluster, n.cfg.Name, n.cfg.writeFault)
	var unwritable *UnwritableFolder
	if err != nil && !errors.Is(err, errLocked) && !errors.As(err, &unwritable) {
		return err
	}
	var listening <-chan struct{}
	if store != nil {
		listening, err = n.transport.listen(n.ctx, n.cfg.Listen)
		n.ownsAddress.Store(err == nil)
		if err != nil && !errors.Is(err, syscall.EADDRINUSE) {
			store.close()
			return errListen(err)
		}
	}
	n.goroutines.Add(1)
	go n.runVoter(store, listening)
	return nil
}

func errListen(cause error) error {
	return &ConfigError{Field: "listen", Why: oneLine(cause), Do: "configure an address of this machine"}
}

// Close stops the member. It returns once the folder is closed.
func (n *Node) Close() {
	n.stop()
	n.transport.close()
	n.goroutines.Wait()
}

// Propose commits an entry and returns once it is applied here. Errors: *NotLeader, *Overloaded and *TooLong (the
// entry is not committed), *UnknownOutcome (it may or may not be committed), *Closed.
func (n *Node) Propose(ctx context.Context, entry []byte) error {
	if len(entry) > maxProposalBytes {
		return &TooLong{Bytes: len(entry), Limit: maxProposalBytes}
	}
	_, err := n.onLeader(ctx, func(r *replica, w waiter) { r.propose(entry, w) })
	if err != nil && ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return &UnknownOutcome{Cause: err}
	}
	return err
}

// Confirm confirms that this member was the leader, in the returned term, at some time after the call began, and that
// all entries committed before are applied here. Concurrent calls share one round of messages. Errors: *NotLeader,
// *Overloaded, *Closed, or that of ctx.
func (n *Node) Confirm(ctx context.Context) (term uint64, err error) {
	return n.onLeader(ctx, func(r *replica, w waiter) { r.confirm(w) })
}

// onLeader runs f on the goroutine of the leader's replica and waits for its outcome.
func (n *Node) onLeader(ctx context.Context, f func(*replica, waiter)) (term uint64, err error) {
	r := n.runner.Load()
	if r == nil || !n.Leader().IsSelf {
		if n.ctx.Err() != nil {
			return 0, &Closed{}
		}
		return 0, &NotLeader{Leader: n.Leader()}
	}
	w := make(waiter, 1)
	if !r.post(func() { f(r.replica, w) }) {
		return 0, &Overloaded{What: "requests to the leader", Limit: maxQueuedCalls}
	}
	select {
	case o := <-w:
		return o.term, n.resolveLeader(o.err)
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-r.done:
	}
	select { // the outcome may have arrived just before the runner ended
	case o := <-w:
		return o.term, o.err
	default:
		return 0, &UnknownOutcome{Cause: &Closed{}}
	}
}

// resolveLeader fills the current leader into a *NotLeader. It returns a copy, since all waiters share the error.
func (n *Node) resolveLeader(err error) error {
	var notLeader *NotLeader
	var unknown *UnknownOutcome
	switch {
	case !errors.As(err, &notLeader):
		return err
	case errors.As(err, &unknown):
		return &UnknownOutcome{Cause: &NotLeader{Leader: n.Leader()}}
	}
	return &NotLeader{Leader: n.Leader()}
}

// Call calls the Handler of the candidate of that name. For this member's own name that is the Handler of this process
// or, while an earlier process of the same name holds the vote, of that one. Errors: *UnknownMember, *Overloaded,
// *Unreachable, *NotLeader, *RemoteError.
func (n *Node) Call(ctx context.Context, name, method string, body []byte) ([]byte, error) {
	if name == n.cfg.Name && !n.runsInOtherProcess() {
		return n.handler(ctx, name, method, body)
	}
	leader := n.Leader()
	address := n.cfg.addressOf(name)
	if address == "" && leader.Name == name {
		address = leader.Address
	}
	if address == "" {
		return nil, &UnknownMember{Name: name}
	}
	answer, err := n.transport.call(ctx, name, address, method, body)
	if leader.Name == name {
		n.recordLeaderCall(err)
	}
	return answer, err
}

// recordLeaderCall records the result of a call to the leader.
func (n *Node) recordLeaderCall(err error) {
	var unreachable *Unreachable
	var notLeader *NotLeader
	switch {
	case err == nil:
		n.leaderAnsweredAt.Store(time.Now().UnixNano())
	case errors.As(err, &unreachable), errors.As(err, &notLeader):
		signal(n.leaderSuspect)
	}
}

// signal sends to a channel of capacity 1, unless a signal is pending already.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// addressOf returns a member's address: the configured one, or else the recorded one.
func (n *Node) addressOf(name, recorded string) string {
	if address := n.cfg.addressOf(name); address != "" {
		return address
	}
	return recorded
}
