package coordinator

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/citronpier/citronpier/messenger"
)

// scoped returns a name within an organisation's scope.
func scoped(organisation, name string) string { return organisation + "\x00" + name }

// identity names the call that a request asks for. Requests with the same key
// of one organisation ask for the same call.
func identity(req *messenger.CallRequest) string {
	if req.GetKey() == "" {
		return scoped(req.GetOrganisation(), "call/"+req.GetCall())
	}
	return scoped(req.GetOrganisation(), "key/"+req.GetKey())
}

// requestDigest identifies what a request asks for, whoever carries it.
func requestDigest(req *messenger.CallRequest) string {
	h := sha256.New()
	for _, part := range [][]byte{
		[]byte(req.GetProgram()),
		[]byte(req.GetService()),
		[]byte(req.GetPath()),
		[]byte(req.GetModel()),
		req.GetPresented(),
	} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}
