package sequencer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/recorder"
)

// MinKeyBytes is the minimum length of a signing key.
const MinKeyBytes = 16

// KeyError reports that a signing key is too short. Length is in bytes; it is 0 if
// no key was given.
type KeyError struct{ Length int }

// Error implements the error interface.
func (e *KeyError) Error() string {
	return fmt.Sprintf("token key has %d bytes; at least %d are needed", e.Length, MinKeyBytes)
}

// ForgedError reports that a token can't be decoded or was not signed with a known
// key. Detail names the part that is wrong.
type ForgedError struct{ Detail string }

// Error implements the error interface.
func (e *ForgedError) Error() string { return "token is not valid: " + e.Detail }

// A Signer signs and verifies tokens by HMAC-SHA256. It signs with its first key
// and accepts signatures of all its keys, so that keys can be rotated while
// tokens signed with an older key are still in use.
type Signer struct {
	// keys has at least one key; each key has at least MinKeyBytes bytes.
	keys [][]byte
}

// NewSigner returns a Signer for the keys, the signing key first. It returns a
// *KeyError if there is no key or a key is shorter than MinKeyBytes.
func NewSigner(keys ...[]byte) (*Signer, error) {
	if len(keys) == 0 {
		return nil, &KeyError{}
	}
	for _, k := range keys {
		if len(k) < MinKeyBytes {
			return nil, &KeyError{Length: len(k)}
		}
	}
	return &Signer{keys: keys}, nil
}

// Seal signs a token and returns it with its signature in unpadded URL-safe base64.
func (s *Signer) Seal(t *recorder.Token) (string, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(t)
	if err != nil {
		return "", fmt.Errorf("encode token: %w", err)
	}
	sealed, err := proto.Marshal(&recorder.Sealed{Token: raw, Mac: mac(s.keys[0], raw)})
	if err != nil {
		return "", fmt.Errorf("encode sealed token: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(sealed), nil
}

// Open verifies the signature of a token that Seal returned, and returns the
// token's content. It returns a *ForgedError if the token is not valid.
func (s *Signer) Open(text string) (*recorder.Token, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, &ForgedError{Detail: "encoding"}
	}
	var sealed recorder.Sealed
	if err := proto.Unmarshal(raw, &sealed); err != nil {
		return nil, &ForgedError{Detail: "envelope"}
	}
	if !s.hasValidMAC(&sealed) {
		return nil, &ForgedError{Detail: "signature"}
	}
	var t recorder.Token
	if err := proto.Unmarshal(sealed.GetToken(), &t); err != nil {
		return nil, &ForgedError{Detail: "content"}
	}
	return &t, nil
}

// hasValidMAC reports whether the token's signature is valid for one of the keys.
func (s *Signer) hasValidMAC(sealed *recorder.Sealed) bool {
	for _, k := range s.keys {
		if hmac.Equal(mac(k, sealed.GetToken()), sealed.GetMac()) {
			return true
		}
	}
	return false
}

func mac(key, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write(data)
	return h.Sum(nil)
}
