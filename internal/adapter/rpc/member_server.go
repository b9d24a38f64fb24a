package rpc

import (
	"context"

	"github.com/masticwing/masticwing/internal/adapter/rpc/pb"
	"github.com/masticwing/masticwing/internal/port"
)

type memberServer struct{ h port.MemberHandler }

// Exchange implements the generated interface.
func (s *memberServer) Exchange(ctx context.Context, in *pb.ExchangeMessage) (*pb.ExchangeMessage, error) {
	out, err := s.h.Exchange(ctx, exchangeFromPB(in))
	if err != nil {
		return nil, err
	}
	return exchangeToPB(out), nil
}

// GetDeclaration implements the generated interface.
func (s *memberServer) GetDeclaration(ctx context.Context, _ *pb.GetDeclarationRequest) (*pb.Document, error) {
	d, err := s.h.Declaration(ctx)
	if err != nil {
		return nil, err
	}
	return &pb.Document{Revision: d.Revision, Stored: d.Stored, AgeMs: ageToMillis(d.Age)}, nil
}

// ListMembers implements the generated interface.
func (s *memberServer) ListMembers(ctx context.Context, _ *pb.ListMembersRequest) (*pb.MemberList, error) {
	m, err := s.h.Members(ctx)
	if err != nil {
		return nil, err
	}
	e := exchangeToPB(m)
	return &pb.MemberList{From: e.GetFrom(), Revision: e.GetRevision(), AgeMs: e.GetAgeMs(), Records: e.GetRecords()}, nil
}
