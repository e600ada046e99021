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

// callTimeout bounds a short call to another member.
const callTimeout = 700 * time.Millisecond

// Machine is the replicated state. All calls come from one goroutine of the node and must not block. Snapshot must
// be a function of the entries applied alone, so that it is the same at all voters.
type Machine interface {
	Apply(index uint64, entry []byte)
	Snapshot() []byte
	Restore(index uint64, snapshot []byte) error
}

// Handler answers other members' calls. It runs on goroutines of the transport, several at a time. The hint of its
// error reaches the caller.
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

	machineIndex uint64 // see replica; belongs to the runner's goroutine

	leader           atomic.Pointer[LeaderInfo]
	leaderChanged    chan struct{} // holds one signal
	leaderAnsweredAt atomic.Int64  // when the leader last answered a call, Unix nanoseconds
	suspect          chan struct{} // holds one signal that a call to the leader failed

	runner   atomic.Pointer[runner]
	status   atomic.Pointer[memberStatus] // nil before the folder is open
	recruits chan recruitment
	dropped  atomic.Int64
	listens  atomic.Bool // calls of this member's name come to this process

	mu       sync.Mutex
	role     Role
	fault    error
	awaiting string
}

// Start begins. A folder that cannot be trusted, and settings that do not fit, are errors here (*ConfigError,
// *ForeignFolder, *CorruptFolder); whatever comes later is told by Status and logged, and this member stays a
// reader.
func Start(cfg Config, machine Machine, handler Handler, log *slog.Logger) (*Node, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return start(cfg, machine, handler, log)
}

// start takes settings that are complete and checked.
func start(cfg Config, machine Machine, handler Handler, log *slog.Logger) (*Node, error) {
	n := &Node{
		cfg:           cfg,
		machine:       machine,
		handler:       handler,
		log:           log,
		leaderChanged: make(chan struct{}, 1),
		suspect:       make(chan struct{}, 1),
		recruits:      make(chan recruitment),
		role:          Reader,
	}
	n.leader.Store(&LeaderInfo{})
	n.transport = newTransport(&n.cfg, log)
	n.transport.serve = n.serve
	n.ctx, n.stop = context.WithCancel(context.Background())
	if cfg.Listen != "" {
		if err := n.startVoter(); err != nil {
			n.stop()
			return nil, err
		}
	}
	n.goroutines.Add(1)
	go n.watchLeader()
	return n, nil
}

// startVoter opens the folder and the address of a member that may hold a vote. One that another process still has,
// and a folder that cannot be written now, are left to the voter's goroutine.
func (n *Node) startVoter() error {
	store, err := openStore(n.cfg.Folder, n.cfg.Cluster, n.cfg.Name, n.cfg.writeFault)
	var unwritable *UnwritableFolder
	if err != nil && !errors.Is(err, errLocked) && !errors.As(err, &unwritable) {
		return err
	}
	var listening <-chan struct{}
	if store != nil {
		listening, err = n.transport.listen(n.ctx, n.cfg.Listen)
		n.listens.Store(err == nil)
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
	return &ConfigError{Field: "listen", Why: oneLine(cause), Do: "name an address of this machine"}
}

// Close ends everything; it waits until the folder is closed.
func (n *Node) Close() {
	n.stop()
	n.transport.close()
	n.goroutines.Wait()
}

// Propose commits an entry, and returns once it is applied here. Errors: *NotLeader, *Overloaded and *TooLong (it
// is not committed), *UnknownOutcome (it may or may not be), *Closed.
func (n *Node) Propose(ctx context.Context, entry []byte) error {
	if len(entry) > maxEntry {
		return &TooLong{Bytes: len(entry), Limit: maxEntry}
	}
	_, err := n.onLeader(ctx, func(r *replica, w waiter) { r.propose(entry, w) })
	if err != nil && ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return &UnknownOutcome{Cause: err}
	}
	return err
}

// Confirm tells that this member led after the call began, in the term returned, and that all that was committed
// until then is applied here. Calls at the same time share one round. Errors: *NotLeader, *Overloaded, *Closed, or
// ctx's.
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
		return 0, &Overloaded{What: "questions to the leader", Limit: callQueue}
	}
	select {
	case o := <-w:
		return o.term, n.withLeader(o.err)
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-r.done:
	}
	select { // the outcome may have come together with the end
	case o := <-w:
		return o.term, o.err
	default:
		return 0, &UnknownOutcome{Cause: &Closed{}}
	}
}

// withLeader names the present leader in a *NotLeader. The error is shared by all who waited, hence the copy.
func (n *Node) withLeader(err error) error {
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

// Call calls a candidate's Handler by its name; also this member's own, be it in this process or, while that one
// holds the vote, in an earlier one of the same name. Errors: *UnknownMember, *Overloaded, *Unreachable,
// *NotLeader, *RemoteError.
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
		n.leaderCalled(err)
	}
	return answer, err
}

// leaderCalled notes how a call to the leader ended.
func (n *Node) leaderCalled(err error) {
	var unreachable *Unreachable
	var notLeader *NotLeader
	switch {
	case err == nil:
		n.leaderAnsweredAt.Store(time.Now().UnixNano())
	case errors.As(err, &unreachable), errors.As(err, &notLeader):
		signal(n.suspect)
	}
}

// signal leaves one signal in a channel that holds one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// addressOf is how to call a member: by the settings, or else as its record says.
func (n *Node) addressOf(name, recorded string) string {
	if address := n.cfg.addressOf(name); address != "" {
		return address
	}
	return recorded
}
