package rpc

import (
	"context"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcerr"

	"github.com/masticwing/masticwing/internal/adapter/rpc/pb"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
)

// codeManifestUnknown is the drpc error code of port.ErrManifestUnknown.
const codeManifestUnknown = 2

type peerServer struct{ h port.PeerHandler }

// GetManifest implements the generated interface.
func (s *peerServer) GetManifest(_ context.Context, in *pb.GetManifestRequest) (*pb.Manifest, error) {
	m, ok := s.h.Manifest(fleet.Version(in.GetVersion()))
	if !ok {
		return nil, drpcerr.WithCode(port.ErrManifestUnknown, codeManifestUnknown)
	}
	return manifestToPB(m), nil
}

// WatchChunks implements the generated interface.
func (s *peerServer) WatchChunks(in *pb.WatchChunksRequest, stream pb.DRPCPeer_WatchChunksStream) error {
	v, from := fleet.Version(in.GetVersion()), fleet.VM(in.GetFrom())
	return s.h.WatchChunks(stream.Context(), v, from, func(u port.ChunkUpdate) error {
		m := &pb.ChunkUpdate{Bitmap: u.Bitmap, Heartbeat: u.Heartbeat}
		for _, i := range u.Added {
			m.Added = append(m.Added, uint32(i))
		}
		return stream.Send(m)
	})
}

// FetchChunk implements the generated interface.
func (s *peerServer) FetchChunk(in *pb.FetchChunkRequest, stream pb.DRPCPeer_FetchChunkStream) error {
	r := port.ChunkRequest{
		Version:    fleet.Version(in.GetVersion()),
		Index:      int(in.GetIndex()),
		From:       fleet.VM(in.GetFrom()),
		FromRegion: fleet.Region(in.GetFromRegion()),

		AnnounceOnly: in.GetAnnounceOnly(),
	}
	err := s.h.SendChunk(stream.Context(), r, pieceWriter{stream})
	switch {
	case errors.Is(err, port.ErrPeerBusy):
		return stream.Send(&pb.ChunkPiece{Busy: true})
	case errors.Is(err, port.ErrChunkMissing):
		return stream.Send(&pb.ChunkPiece{Missing: true})
	}
	return err
}

// pieceBytes is the maximum size of one message of a chunk. It limits by how much
// a rate limiter is exceeded.
const pieceBytes = 64 << 10

// pieceWriter sends a chunk in messages of at most pieceBytes.
type pieceWriter struct{ stream pb.DRPCPeer_FetchChunkStream }

// Write implements io.Writer.
func (w pieceWriter) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		n := min(pieceBytes, len(b)-sent)
		if err := w.stream.Send(&pb.ChunkPiece{Bytes: b[sent : sent+n]}); err != nil {
			return sent, err
		}
		sent += n
	}
	return sent, nil
}
