package port

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

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
	// Resume is the number of frames that the caller already received from another
	// target, and Version the version that has to continue the answer. Version is
	// empty for a new answer.
	Resume  uint64
	Version fleet.Version
}

// Load is the exact load of a target at the time of the message: the requests in
// progress, their limit, and the bytes held in memory for them. It is part of
// AgentStatus.
type Load struct {
	InFlight  int
	Limit     int
	BytesHeld int64
}

// Progress is the progress of an agent towards its target version. It is part of
// AgentStatus.
type Progress struct {
	Target          fleet.Version
	State           string
	Chunks          int
	ChunksHave      int
	BytesTotal      int64
	BytesFromOrigin int64
	BytesFromPeers  int64
	BytesToPeers    int64
	// Reason is the reason why the transfer makes no progress, or empty.
	Reason string
}

// AgentStatus is the state of an agent and its target. The agent's status page
// encodes it as JSON under the names of its fields.
type AgentStatus struct {
	VM       fleet.VM
	Domain   fleet.Domain
	BootID   uint64
	Revision uint64
	Group    fleet.Group
	Service  fleet.Service
	// Version is the version that the target serves, or empty.
	Version  fleet.Version
	Load     Load
	Cordoned bool
	Leaving  bool
	Ready    bool
	Progress Progress
}

// AgentClient calls agents on behalf of an entry.
type AgentClient interface {
	// Serve sends a request and returns its answer as a stream. onLoad, if not
	// nil, is called with the target's load from the head of the answer or the
	// refusal. An error carries a verdict; the verdict is NotRun only if the agent
	// refused the request or nothing was sent.
	Serve(ctx context.Context, addr fleet.Address, r ServeRequest, onLoad func(Load)) (Answer, error)
	// WatchStatus opens the agent's status stream for the entry.
	WatchStatus(ctx context.Context, addr fleet.Address, entry string, dom fleet.Domain) (StatusStream, error)
}

// StatusStream receives the status of an agent.
type StatusStream interface {
	// Next waits for the next status. It fails if nothing arrives within the
	// heartbeat timeout.
	Next() (AgentStatus, error)
	// Close ends the stream.
	Close() error
}

// AnswerSink sends one answer of an agent's application to the entry: a head and
// data. A second head, or data without a head or after an error, is not sent: the
// method returns response.ErrBegun or response.ErrNotOpen, and the answer ends with an
// error whatever AgentHandler.Serve returns. Any other error means that the entry has
// disconnected or canceled.
type AnswerSink interface {
	// Head sends the head of the answer and the target's load.
	Head(h AnswerHead, l Load) error
	// Data sends a piece of the answer. It may block while the entry does not
	// read.
	Data(b []byte) error
}

// AgentHandler is implemented by the agent's application.
type AgentHandler interface {
	// Serve runs a request and writes its answer to sink. The answer is complete
	// only if Serve returns nil. An error with the verdict NotRun that is returned
	// before Head was called reaches the entry as a refusal, and later as an error
	// with the verdict MayHaveRun.
	Serve(ctx context.Context, r ServeRequest, sink AnswerSink) error
	// Load returns the current load, which is sent with each refusal.
	Load() Load
	// WatchStatus calls send on each change of the status until ctx ends or send
	// fails.
	WatchStatus(ctx context.Context, entry string, send func(AgentStatus) error) error
}

// ChunkUpdate tells which chunks a peer has. Bitmap, if set, is the whole set and
// replaces earlier updates: bit i%8 of byte i/8 stands for chunk i. Added lists
// the indexes of further chunks. Heartbeat marks an update that only shows that
// the peer is alive.
type ChunkUpdate struct {
	Bitmap    []byte
	Added     []int
	Heartbeat bool
}

// ChunkStream receives the chunk updates of a peer.
type ChunkStream interface {
	// Next waits for the next update. It fails if nothing arrives within the
	// heartbeat timeout.
	Next() (ChunkUpdate, error)
	// Close ends the stream.
	Close() error
}

// ErrManifestUnknown is returned by PeerClient.Manifest if the peer replied that
// it does not have the manifest.
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

// PeerClient calls other agents on behalf of an agent.
type PeerClient interface {
	// Manifest returns the peer's manifest of a version, or ErrManifestUnknown.
	Manifest(ctx context.Context, addr fleet.Address, v fleet.Version) (manifest.Manifest, error)
	// WatchChunks opens a stream of updates on the chunks of a version that the
	// peer has. from is the VM of the caller.
	WatchChunks(ctx context.Context, addr fleet.Address, v fleet.Version, from fleet.VM) (ChunkStream, error)
	// FetchChunk streams a chunk. The bytes are not verified.
	FetchChunk(ctx context.Context, addr fleet.Address, r ChunkRequest) (io.ReadCloser, error)
}

// PeerHandler is implemented by the agent's application.
type PeerHandler interface {
	// Manifest returns the manifest of a version and whether it is known.
	Manifest(v fleet.Version) (manifest.Manifest, bool)
	// WatchChunks calls send whenever chunks are added, until ctx ends or send
	// fails.
	WatchChunks(ctx context.Context, v fleet.Version, from fleet.VM, send func(ChunkUpdate) error) error
	// SendChunk writes the chunk to w in pieces. It returns ErrPeerBusy or
	// ErrChunkMissing, without writing anything, if it cannot send the chunk.
	SendChunk(ctx context.Context, r ChunkRequest, w io.Writer) error
}

// MemberState is the state of a member in the member table.
type MemberState uint8

// States of a member. Of two records with the same incarnation, the state that is
// listed later here takes precedence.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberLeaving
	MemberDead
)

// MemberRecord describes one process. In an exchange, a record without an address
// contains only ID, Incarnation, Version and State.
type MemberRecord struct {
	ID           string
	Kind         fleet.Kind
	Domain       fleet.Domain
	Region       fleet.Region
	Address      fleet.Address
	AdminAddress fleet.Address
	Labels       map[string]string
	// Incarnation is set by the member itself. The member increases it when it
	// restarts or refutes a suspicion.
	Incarnation uint64
	// Version increases with each change that the member makes to its record.
	Version uint64
	State   MemberState
	// Revision is the revision of the declaration that the member has.
	Revision uint64
	// Status is set for agents.
	Status *AgentStatus
	// Age is the time since the record was last confirmed.
	Age time.Duration
}

// ExchangeMessage is a message of the exchange between two members: the sender's
// revision of the declaration, and records and digests of its member table.
type ExchangeMessage struct {
	From     string
	Revision uint64
	// Age is the time since the platform confirmed the revision as the newest, or
	// negative if no confirmation is known.
	Age time.Duration
	// Digest is the digest of the sender's whole table.
	Digest  uint64
	Records []MemberRecord
	// Compare, Group, Digests, Leaves and Want serve to find the differences
	// between two tables, see membership.Message.
	Compare bool
	Group   uint32
	Digests []uint32
	Leaves  []uint32
	Want    []string
}

// StoredDeclaration is a declaration in its encoded form, as the platform stores
// it. Age is the time since the platform confirmed the revision as the newest.
type StoredDeclaration struct {
	Revision uint64
	Stored   []byte
	Age      time.Duration
}

// MemberClient calls other processes to exchange members and declarations.
type MemberClient interface {
	// Exchange sends a message and returns the reply.
	Exchange(ctx context.Context, addr fleet.Address, m ExchangeMessage) (ExchangeMessage, error)
	// Declaration returns the newest declaration that the other process has.
	Declaration(ctx context.Context, addr fleet.Address) (StoredDeclaration, error)
	// Members returns the complete member table of the other process.
	Members(ctx context.Context, addr fleet.Address) (ExchangeMessage, error)
}

// MemberHandler is implemented by the applications of entries and agents.
type MemberHandler interface {
	// Exchange merges a message of another process and returns the reply.
	Exchange(ctx context.Context, m ExchangeMessage) (ExchangeMessage, error)
	// Declaration returns the newest declaration that this process has.
	Declaration(ctx context.Context) (StoredDeclaration, error)
	// Members returns the complete member table of this process.
	Members(ctx context.Context) (ExchangeMessage, error)
}
