package loadudp

import (
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/core/quarantine"
	"github.com/masticwing/masticwing/internal/port"
)

// encodeEvidence encodes a notice of evidence. It leaves out subjects that have no room.
func encodeEvidence(n port.EvidenceNotice) []byte {
	b := []byte{evidenceVersion, 0}
	if n.Relay {
		b[1] = flagRelay
	}
	for _, x := range n.Evidence {
		size := 5 + len(x.Subject) + len(x.Evidence.Account)
		if len(x.Subject) > maxSubjectBytes || len(x.Evidence.Account) > 255 || len(b)+size > maxEvidenceBytes {
			continue
		}
		b = append(b, byte(x.Probe), byte(min(x.Evidence.Losses, 255)), byte(min(x.Evidence.Others, 255)))
		b = append(append(b, byte(len(x.Subject))), x.Subject...)
		b = append(append(b, byte(len(x.Evidence.Account))), x.Evidence.Account...)
	}
	return b
}

func decodeEvidence(b []byte) (port.EvidenceNotice, bool) {
	if len(b) < 2 || len(b) > maxEvidenceBytes || b[0] != evidenceVersion {
		return port.EvidenceNotice{}, false
	}
	n := port.EvidenceNotice{Relay: b[1]&flagRelay != 0}
	for b = b[2:]; len(b) > 0; {
		if len(b) < 5 || len(n.Evidence) == port.MaxNoticeEvidence {
			return port.EvidenceNotice{}, false
		}
		probe, e := quarantine.Probe(b[0]), quarantine.Evidence{Losses: int(b[1]), Others: int(b[2])}
		subject, rest, ok := decodeText(b[3:])
		if !ok || len(subject) > maxSubjectBytes {
			return port.EvidenceNotice{}, false
		}
		account, rest, ok := decodeText(rest)
		if !ok {
			return port.EvidenceNotice{}, false
		}
		e.Account, b = fleet.Customer(account), rest
		n.Evidence = append(n.Evidence, port.SubjectEvidence{Subject: quarantine.Subject(subject), Evidence: e, Probe: probe})
	}
	return n, true
}

// decodeText returns a text behind its length, and the bytes after it.
func decodeText(b []byte) (text string, rest []byte, ok bool) {
	if len(b) == 0 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	n := 1 + int(b[0])
	return string(b[1:n]), b[n:], true
}
