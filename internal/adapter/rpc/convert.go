package rpc

import (
	"time"

	"github.com/masticwing/masticwing/internal/adapter/rpc/pb"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/manifest"
	"github.com/masticwing/masticwing/internal/core/verdict"
	"github.com/masticwing/masticwing/internal/port"
)

func errorToPB(e *verdict.Error) *pb.Error {
	return &pb.Error{
		Verdict:      verdictToPB(e.Verdict),
		Code:         string(e.Code),
		Message:      e.Message,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

func errorFromPB(e *pb.Error) *verdict.Error {
	err := verdict.New(verdictFromPB(e.GetVerdict()), verdict.Code(e.GetCode()), "%s", e.GetMessage())
	return err.WithRetryAfter(fromMillis(e.GetRetryAfterMs()))
}

func verdictToPB(v verdict.Verdict) pb.Verdict {
	switch v {
	case verdict.NotRun:
		return pb.Verdict_VERDICT_NOT_RUN
	case verdict.Ran:
		return pb.Verdict_VERDICT_RAN
	default:
		return pb.Verdict_VERDICT_MAY_HAVE_RUN
	}
}

func verdictFromPB(v pb.Verdict) verdict.Verdict {
	switch v {
	case pb.Verdict_VERDICT_NOT_RUN:
		return verdict.NotRun
	case pb.Verdict_VERDICT_RAN:
		return verdict.Ran
	default:
		return verdict.MayHaveRun
	}
}

func requestToPB(r port.ServeRequest) *pb.ServeRequest {
	return &pb.ServeRequest{
		RequestId:      string(r.ID),
		Group:          string(r.Group),
		Service:        string(r.Service),
		Call:           r.Call,
		Customer:       string(r.Customer),
		Class:          uint32(r.Class),
		Body:           r.Body,
		ContentType:    r.ContentType,
		TimeoutMs:      r.Timeout.Milliseconds(),
		Revision:       r.Revision,
		FromDomain:     string(r.FromDomain),
		IdempotencyKey: r.IdempotencyKey,
		PrefixHash:     r.PrefixHash,
		Resume:         r.Resume,
		Version:        string(r.Version),
	}
}

func requestFromPB(r *pb.ServeRequest) port.ServeRequest {
	return port.ServeRequest{
		ID:             fleet.RequestID(r.GetRequestId()),
		Group:          fleet.Group(r.GetGroup()),
		Service:        fleet.Service(r.GetService()),
		Call:           r.GetCall(),
		Customer:       fleet.Customer(r.GetCustomer()),
		Class:          fleet.Class(r.GetClass()),
		Body:           r.GetBody(),
		ContentType:    r.GetContentType(),
		Timeout:        fromMillis(r.GetTimeoutMs()),
		Revision:       r.GetRevision(),
		FromDomain:     fleet.Domain(r.GetFromDomain()),
		IdempotencyKey: r.GetIdempotencyKey(),
		PrefixHash:     r.GetPrefixHash(),
		Resume:         r.GetResume(),
		Version:        fleet.Version(r.GetVersion()),
	}
}

func loadToPB(l port.Load) *pb.Load {
	return &pb.Load{InFlight: int32(l.InFlight), Limit: int32(l.Limit), BytesHeld: l.BytesHeld}
}

func loadFromPB(l *pb.Load) port.Load {
	return port.Load{InFlight: int(l.GetInFlight()), Limit: int(l.GetLimit()), BytesHeld: l.GetBytesHeld()}
}

func headToPB(h port.AnswerHead) *pb.Head {
	return &pb.Head{
		Version:     string(h.Version),
		ContentType: h.ContentType,
		Status:      int32(h.Status),
		Replayed:    h.Replayed,
		Start:       h.Start,
	}
}

func headFromPB(id string, h *pb.Head) port.AnswerHead {
	return port.AnswerHead{
		ID:          fleet.RequestID(id),
		Version:     fleet.Version(h.GetVersion()),
		ContentType: h.GetContentType(),
		Status:      int(h.GetStatus()),
		Replayed:    h.GetReplayed(),
		Start:       h.GetStart(),
	}
}

func statusToPB(s *port.AgentStatus) *pb.AgentStatus {
	if s == nil {
		return nil
	}
	return &pb.AgentStatus{
		Vm:       string(s.VM),
		Domain:   string(s.Domain),
		BootId:   s.BootID,
		Revision: s.Revision,
		Group:    string(s.Group),
		Service:  string(s.Service),
		Version:  string(s.Version),
		Load:     loadToPB(s.Load),
		Cordoned: s.Cordoned,
		Leaving:  s.Leaving,
		Ready:    s.Ready,
		Progress: progressToPB(s.Progress),
	}
}

func statusFromPB(s *pb.AgentStatus) *port.AgentStatus {
	if s == nil {
		return nil
	}
	return &port.AgentStatus{
		VM:       fleet.VM(s.GetVm()),
		Domain:   fleet.Domain(s.GetDomain()),
		BootID:   s.GetBootId(),
		Revision: s.GetRevision(),
		Group:    fleet.Group(s.GetGroup()),
		Service:  fleet.Service(s.GetService()),
		Version:  fleet.Version(s.GetVersion()),
		Load:     loadFromPB(s.GetLoad()),
		Cordoned: s.GetCordoned(),
		Leaving:  s.GetLeaving(),
		Ready:    s.GetReady(),
		Progress: progressFromPB(s.GetProgress()),
	}
}

func progressToPB(p port.Progress) *pb.Progress {
	return &pb.Progress{
		TargetVersion:   string(p.Target),
		State:           p.State,
		Chunks:          int32(p.Chunks),
		ChunksHave:      int32(p.ChunksHave),
		BytesTotal:      p.BytesTotal,
		BytesFromOrigin: p.BytesFromOrigin,
		BytesFromPeers:  p.BytesFromPeers,
		BytesToPeers:    p.BytesToPeers,
		Reason:          p.Reason,
	}
}

func progressFromPB(p *pb.Progress) port.Progress {
	return port.Progress{
		Target:          fleet.Version(p.GetTargetVersion()),
		State:           p.GetState(),
		Chunks:          int(p.GetChunks()),
		ChunksHave:      int(p.GetChunksHave()),
		BytesTotal:      p.GetBytesTotal(),
		BytesFromOrigin: p.GetBytesFromOrigin(),
		BytesFromPeers:  p.GetBytesFromPeers(),
		BytesToPeers:    p.GetBytesToPeers(),
		Reason:          p.GetReason(),
	}
}

func manifestToPB(m manifest.Manifest) *pb.Manifest {
	out := &pb.Manifest{Model: string(m.Model)}
	for _, c := range m.Chunks {
		out.Chunks = append(out.Chunks, &pb.Chunk{Digest: c.Digest[:], Bytes: c.Bytes})
	}
	return out
}

// manifestFromPB does not validate the manifest; the caller checks it against the
// version. A digest of the wrong size is padded with zeros or cut.
func manifestFromPB(m *pb.Manifest) manifest.Manifest {
	out := manifest.Manifest{Model: fleet.Model(m.GetModel())}
	for _, c := range m.GetChunks() {
		var d manifest.Digest
		copy(d[:], c.GetDigest())
		out.Chunks = append(out.Chunks, manifest.Chunk{Digest: d, Bytes: c.GetBytes()})
	}
	return out
}

// memberToPB omits the VM and the domain of the status if they equal the ID and
// the domain of the record.
func memberToPB(m port.MemberRecord) *pb.MemberRecord {
	status := statusToPB(m.Status)
	if status != nil && status.Vm == m.ID && status.Domain == string(m.Domain) {
		status.Vm, status.Domain = "", ""
	}
	return &pb.MemberRecord{
		Id:           m.ID,
		Kind:         uint32(m.Kind),
		Domain:       string(m.Domain),
		Region:       string(m.Region),
		Address:      string(m.Address),
		AdminAddress: string(m.AdminAddress),
		Labels:       m.Labels,
		Incarnation:  m.Incarnation,
		Version:      m.Version,
		State:        uint32(m.State),
		Revision:     m.Revision,
		Status:       status,
		AgeMs:        m.Age.Milliseconds(),
	}
}

func memberFromPB(m *pb.MemberRecord) port.MemberRecord {
	status := statusFromPB(m.GetStatus())
	if status != nil && status.VM == "" && status.Domain == "" {
		status.VM, status.Domain = fleet.VM(m.GetId()), fleet.Domain(m.GetDomain())
	}
	return port.MemberRecord{
		ID:           m.GetId(),
		Kind:         fleet.Kind(m.GetKind()),
		Domain:       fleet.Domain(m.GetDomain()),
		Region:       fleet.Region(m.GetRegion()),
		Address:      fleet.Address(m.GetAddress()),
		AdminAddress: fleet.Address(m.GetAdminAddress()),
		Labels:       m.GetLabels(),
		Incarnation:  m.GetIncarnation(),
		Version:      m.GetVersion(),
		State:        port.MemberState(m.GetState()),
		Revision:     m.GetRevision(),
		Status:       status,
		Age:          fromMillis(m.GetAgeMs()),
	}
}

func exchangeToPB(m port.ExchangeMessage) *pb.ExchangeMessage {
	out := &pb.ExchangeMessage{
		From:     m.From,
		Revision: m.Revision,
		AgeMs:    ageToMillis(m.Age),
		Digest:   m.Digest,
		Compare:  m.Compare,
		Group:    m.Group,
		Digests:  m.Digests,
		Leaves:   m.Leaves,
		Want:     m.Want,
	}
	for _, r := range m.Records {
		out.Records = append(out.Records, memberToPB(r))
	}
	return out
}

func exchangeFromPB(m *pb.ExchangeMessage) port.ExchangeMessage {
	out := port.ExchangeMessage{
		From:     m.GetFrom(),
		Revision: m.GetRevision(),
		Age:      ageFromMillis(m.GetAgeMs()),
		Digest:   m.GetDigest(),
		Compare:  m.GetCompare(),
		Group:    m.GetGroup(),
		Digests:  m.GetDigests(),
		Leaves:   m.GetLeaves(),
		Want:     m.GetWant(),
	}
	for _, r := range m.GetRecords() {
		out.Records = append(out.Records, memberFromPB(r))
	}
	return out
}

// ageToMillis rounds up, so that the receiver never sees a smaller age. A negative
// age becomes -1.
func ageToMillis(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return (d + time.Millisecond - 1).Milliseconds()
}

func ageFromMillis(ms int64) time.Duration {
	if ms < 0 {
		return -1
	}
	return fromMillis(ms)
}

// maxStatedTime bounds times that other processes state, so that sums don't overflow.
const maxStatedTime = 100 * 365 * 24 * time.Hour

// fromMillis converts a stated time, limited to maxStatedTime in both directions.
func fromMillis(ms int64) time.Duration {
	const highest = int64(maxStatedTime / time.Millisecond)
	return time.Duration(min(max(ms, -highest), highest)) * time.Millisecond
}
