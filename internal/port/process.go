package port

import (
	"context"
	"github.com/pkg/errors"
	"io"
	"time"

	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/core/verdict"
)

// ServeRequest is a caller's request on its way from an entry to an agent.
// Either Group or Service is set.
type ServeRequest struct {
	ID             fleet.RequestID
	Group          fleet.Group
	Service        fleet.Service
	Call           string
	Customer       fleet.Customer
	Class          fleet.Class
	Body           []byte
	ContentType    string
	Timeout        time.Duration
	Revision       uint64
	FromDomain     fleet.Domain
	IdempotencyKey string
	PrefixHash     uint64
	// Resume is the number of frames that the caller already has from another
	// target, and Version the version that has to continue them. Version is
	// empty for a new answer.
	Resume  uint64
	Version fleet.Version
}

// Load is the exact load of a target at the moment of the message.
type Load struct {
	InFlight  int
	Limit     int
	BytesHeld int64
}

// Progress describes the version that an agent is working towards.
type Progress struct {
	Target          fleet.Version
	State           string
	Chunks          int
	ChunksHave      int
	BytesTotal      int64
	BytesFromOrigin int64
	BytesFromPeers  int64
	BytesToPeers    int64
	// Reason says why there is no progress, or is empty.
	Reason string
}

// AgentStatus is the state of an agent and its target.
type AgentStatus struct {
	VM       fleet.VM
	Domain   fleet.Domain
	BootID   uint64
	Revision uint64
	Group    fleet.Group
	Service  fleet.Service
	// Version is the complete version that the target serves, or empty.
	Version  fleet.Version
	Load     Load
	Cordoned bool
	Leaving  bool
	Ready    bool
	Progress Progress
}

// AgentClient is an entry's view of agents.
type AgentClient interface {
	// Serve opens the answer to a request. onLoad, if not nil, receives the
	// target's load from the head or the refusal. An error carries a verdict;
	// it is NotRun only if the agent refused the request or nothing was sent.
	Serve(ctx context.Context, addr fleet.Address, r ServeRequest, onLoad func(Load)) (Answer, error)
	// WatchStatus opens the agent's status stream.
	WatchStatus(ctx context.Context, addr fleet.Address, entry string, dom fleet.Domain) (StatusStream, error)
}

// StatusStream is a stream of an agent's state.
type StatusStream interface {
	// Next returns the next state. It fails if the agent is silent for longer
	// than the heartbeat timeout.
	Next() (AgentStatus, error)
	// Close ends the stream.
	Close() error
}

// AnswerSink takes the answer to a request from an agent's application.
// Its methods return an error once the entry has gone or canceled.
type AnswerSink interface {
	// Head sends the head of the answer and the target's load. It is called
	// once, before Data.
	Head(h AnswerHead, l Load) error
	// Data sends a piece of the answer. It may keep the caller waiting while
	// the entry does not read.
	Data(b []byte) error
}

// AgentHandler is implemented by the agent's application.
type AgentHandler interface {
	// Serve runs a request and writes its answer to the sink. If it returns an
	// error before Head was called and the error's verdict is NotRun, the
	// entry sees a refusal.
	Serve(ctx context.Context, r ServeRequest, sink AnswerSink) error
	// Load returns the current load, for refusals.
	Load() Load
	// WatchStatus calls send on each change until ctx ends or send fails.
	WatchStatus(ctx context.Context, entry string, send func(AgentStatus) error) error
}

// ChunkUpdate says which chunks a peer has. Bitmap, if set, replaces what was
// known before; bit i of byte i/8 is chunk i.
type ChunkUpdate struct {
	Bitmap    []byte
	Added     []int
	Heartbeat bool
}

// ChunkStream is a stream of a peer's chunk updates.
type ChunkStream interface {
	// Next returns the next update. It fails if the peer is silent for longer
	// than the heartbeat timeout.
	Next() (ChunkUpdate, error)
	// Close ends the stream.
	Close() error
}

// ErrManifestUnknown is returned by PeerClient.Manifest if the peer was reached and
// does not know the manifest.
var ErrManifestUnknown = errors.New("peer does not know the manifest")

// Errors of PeerClient.FetchChunk.
var (
	ErrPeerBusy     = verdict.New(verdict.NotRun, "peer_busy", "peer serves its limit of uploads")
	ErrChunkMissing = verdict.New(verdict.NotRun, "chunk_missing", "peer does not have the chunk")
)

// ChunkRequest asks a peer for one chunk.
type ChunkRequest struct {
	Version    fleet.Version
	Index      int
	From       fleet.VM
	FromRegion fleet.Region
	// AnnounceOnly asks for an empty answer once the peer has the chunk.
	AnnounceOnly bool
}

// PeerClient is an agent's view of other agents.
type PeerClient interface {
	// Manifest returns the manifest of a version that the peer knows.
	Manifest(ctx context.Context, addr fleet.Address, v fleet.Version) (manifest.Manifest, error)
	// WatchChunks opens the stream of the chunks of a version that the peer has.
	WatchChunks(ctx context.Context, addr fleet.Address, v fleet.Version, from fleet.VM) (ChunkStream, error)
	// FetchChunk streams a chunk. The bytes are not verified.
	FetchChunk(ctx context.Context, addr fleet.Address, r ChunkRequest) (io.ReadCloser, error)
}

// PeerHandler is implemented by the agent's application.
type PeerHandler interface {
	// Manifest returns the manifest of a version and whether it is known.
	Manifest(v fleet.Version) (manifest.Manifest, bool)
	// WatchChunks calls send on each change until ctx ends or send fails.
	WatchChunks(ctx context.Context, v fleet.Version, from fleet.VM, send func(ChunkUpdate) error) error
	// SendChunk writes the chunk to w in pieces. It returns ErrPeerBusy or
	// ErrChunkMissing if it wrote nothing.
	SendChunk(ctx context.Context, r ChunkRequest, w io.Writer) error
}

// MemberState is the state of a member in the table.
type MemberState uint8

// The states of a member. A later state wins at the same incarnation.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberLeaving
	MemberDead
)

// MemberRecord is what is known of one process. In an exchange, one without an
// address has its state alone: ID, Incarnation, Version and State.
type MemberRecord struct {
	ID           string
	Kind         fleet.Kind
	Domain       fleet.Domain
	Region       fleet.Region
	Address      fleet.Address
	AdminAddress fleet.Address
	Labels       map[string]string
	// Incarnation is set by the member itself and rises when it restarts or
	// refutes a suspicion.
	Incarnation uint64
	// Version rises with each change that the member makes to its own record.
	Version  uint64
	State    MemberState
	Revision uint64
	// Status is set for agents.
	Status *AgentStatus
	// Age is the time since the record was last known to be true.
	Age time.Duration
}

// ExchangeMessage carries the newest facts of a member.
type ExchangeMessage struct {
	From     string
	Revision uint64
	// Age is the time since the platform confirmed the revision as the newest;
	// negative if no confirmation is known.
	Age     time.Duration
	Digest  uint64
	Records []MemberRecord
	// Compare, Group, Digests, Leaves and Want find out where two tables differ.
	// See membership.Message.
	Compare bool
	Group   uint32
	Digests []uint32
	Leaves  []uint32
	Want    []string
}

// StoredDeclaration is the stored form of a declaration.
type StoredDeclaration struct {
	Revision uint64
	Stored   []byte
	Age      time.Duration
}

// MemberClient is a process's view of other processes.
type MemberClient interface {
	// Exchange sends what this process knows and returns what the other one does.
	Exchange(ctx context.Context, addr fleet.Address, m ExchangeMessage) (ExchangeMessage, error)
	// Declaration returns the newest declaration that the other process holds.
	Declaration(ctx context.Context, addr fleet.Address) (StoredDeclaration, error)
	// Members returns the other process's whole member table.
	Members(ctx context.Context, addr fleet.Address) (ExchangeMessage, error)
}

// MemberHandler is implemented by the applications of entries and agents.
type MemberHandler interface {
	// Exchange takes in what another process knows and returns what this one does.
	Exchange(ctx context.Context, m ExchangeMessage) (ExchangeMessage, error)
	// Declaration returns the newest declaration held.
	Declaration(ctx context.Context) (StoredDeclaration, error)
	// Members returns the whole member table.
	Members(ctx context.Context) (ExchangeMessage, error)
}
