package lab

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
)

// Model is the name of the model, and Pieces and PieceBytes are the figures of the sheet of buoycheck-fleet.
const (
	Model              = "m"
	Pieces, PieceBytes = 64, 32768
)

// PieceData returns the bytes of a piece of a version.
func PieceData(version int64, i int) []byte {
	b := make([]byte, PieceBytes)
	for k := range b {
		b[k] = byte(int(version)*31 + i*7 + k)
	}
	return b
}

// ServeOrigin serves the manifests and pieces of all versions, as the origin does.
func ServeOrigin(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.URL.Query().Get("Version"), 10, 64)
	if strings.HasPrefix(r.URL.Path, "/piece/") {
		i, _ := strconv.Atoi(r.URL.Query().Get("ChunkCount"))
		_, _ = w.Write(PieceData(version, i))
		return
	}
	var digests []string
	for i := range Pieces {
		sum := sha256.Sum256(PieceData(version, i))
		digests = append(digests, hex.EncodeToString(sum[:]))
	}
	_ = json.NewEncoder(w).Encode(Object{"Model": Model, "Version": version, "ChunkBytes": PieceBytes, "layers": 16, "Digests": digests})
}
