package coordinator

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/citronpier/citronpier/messenger"
)

// scopedName returns a map key for a name that is unique only within its
// organisation.
func scopedName(organisation, name string) string { return organisation + "\x00" + name }

// identity returns the key under which a request's job is stored: the
// idempotency key if the request has one, otherwise the call id. Requests of one
// organisation with the same idempotency key share a job.
func identity(req *messenger.CallRequest) string {
	if req.GetKey() == "" {
		return scopedName(req.GetOrganisation(), "call/"+req.GetCall())
	}
	return scopedName(req.GetOrganisation(), "key/"+req.GetKey())
}

// requestDigest returns a digest of what a request asks for: program, service,
// path, model and content. Two requests with one idempotency key must have the
// same digest.
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
