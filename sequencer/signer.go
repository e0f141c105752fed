package sequencer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/citronpier/citronpier/recorder"
)

// MinKeyBytes is the shortest key that a Signer takes.
const MinKeyBytes = 16

// KeyError says that a signing key is too short.
type KeyError struct{ Length int }

// Error describes the failure.
func (e *KeyError) Error() string {
	return fmt.Sprintf("token key has %d bytes; at least %d are needed", e.Length, MinKeyBytes)
}

// ForgedError says that a token was not signed with a known key.
type ForgedError struct{ Detail string }

// Error describes the failure.
func (e *ForgedError) Error() string { return "token is not valid: " + e.Detail }

// A Signer signs and opens tokens. It signs with its first key and accepts all
// of them, so that keys can be rotated while tokens are under way.
type Signer struct {
	// keys has at least one entry of MinKeyBytes or more.
	keys [][]byte
}

// NewSigner returns a Signer for the keys, the signing key first.
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

// Seal returns the signed, printable form of a token.
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

// Open verifies a printable token and returns its content.
func (s *Signer) Open(text string) (*recorder.Token, error) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, &ForgedError{Detail: "encoding"}
	}
	var sealed recorder.Sealed
	if err := proto.Unmarshal(raw, &sealed); err != nil {
		return nil, &ForgedError{Detail: "envelope"}
	}
	if !s.signed(&sealed) {
		return nil, &ForgedError{Detail: "signature"}
	}
	var t recorder.Token
	if err := proto.Unmarshal(sealed.GetToken(), &t); err != nil {
		return nil, &ForgedError{Detail: "content"}
	}
	return &t, nil
}

func (s *Signer) signed(sealed *recorder.Sealed) bool {
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
