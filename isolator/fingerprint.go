package isolator

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/citronpier/citronpier/descriptor"
)

// Fingerprint identifies a request by its content. It is the same on every host, and for
// each attempt of a caller that repeats the request.
type Fingerprint string

// NewFingerprint returns the fingerprint of a model request: the first 16 bytes, in
// hexadecimal, of a hash over the model name and the digest of the messages.
func NewFingerprint(model string, digest []byte) Fingerprint {
	h := sha256.New()
	_, _ = h.Write([]byte(model))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(digest)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:16]))
}

// NewRequestFingerprint returns the fingerprint of a request as its caller sent it, that is,
// without the text of earlier turns in its body: a hash over who sends it (by its
// credentials), where to, which turn it continues, and its body. What differs from attempt
// to attempt doesn't count: the attempt's id, the program, and the event that a stream is
// resumed after.
func NewRequestFingerprint(r descriptor.Request) Fingerprint {
	h := xxhash.New()
	for _, part := range []string{r.Header.Get("Authorization"), r.Method, r.Host, r.Target, r.Previous} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return Fingerprint(strconv.FormatUint(h.Sum64(), 16))
}
