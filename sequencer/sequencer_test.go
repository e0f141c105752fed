package sequencer_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/tidwall/gjson"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/refuser"
	"github.com/citronpier/citronpier/sequencer"
)

func newSigner(t testing.TB, keys ...string) *sequencer.Signer {
	t.Helper()
	var rawKeys [][]byte
	for _, k := range keys {
		rawKeys = append(rawKeys, []byte(k))
	}
	s, err := sequencer.NewSigner(rawKeys...)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

const (
	oldKey = "old-key-old-key-"
	newKey = "new-key-new-key-"
)

func TestKeyRotation(t *testing.T) {
	token := &recorder.Token{Program: "p", Organisation: "o", Number: 7, Spent: 12}
	text, err := newSigner(t, oldKey).Seal(token)
	if err != nil {
		t.Fatal(err)
	}
	got, err := newSigner(t, newKey, oldKey).Open(text)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(token, got, protocmp.Transform()); diff != "" {
		t.Errorf("token (-want +got):\n%s", diff)
	}
	var forged *sequencer.ForgedError
	if _, err := newSigner(t, newKey).Open(text); !errors.As(err, &forged) {
		t.Errorf("a token signed with a removed key: got error %v, want ForgedError", err)
	}
}

func TestShortKeyIsRefused(t *testing.T) {
	var short *sequencer.KeyError
	if _, err := sequencer.NewSigner([]byte("short")); !errors.As(err, &short) {
		t.Errorf("a short key: got error %v, want KeyError", err)
	}
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func toJSON(t interface{ Fatal(...any) }, messages []message) gjson.Result {
	b, err := json.Marshal(messages)
	if err != nil {
		t.Fatal(err)
	}
	return gjson.ParseBytes(b)
}

// A history is accepted if and only if it starts with the messages that the token
// covers, unchanged, and adds at least one message.
func TestHistoryMustExtend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := rapid.Custom(func(t *rapid.T) message {
			return message{
				Role:    rapid.SampledFrom([]string{"user", "assistant", "tool"}).Draw(t, "role"),
				Content: rapid.StringN(0, 8, -1).Draw(t, "content"),
			}
		})
		covered := rapid.SliceOfN(messages, 1, 6).Draw(t, "covered")
		next := rapid.SliceOfN(messages, 0, 4).Draw(t, "next")
		history := sequencer.Chain(toJSON(t, covered), 0)
		token := &recorder.Token{
			Program: "p", Organisation: "o", Messages: history.Count, Digest: history.FullDigest[:],
		}
		presented := append(append([]message(nil), covered...), next...)
		if rapid.Bool().Draw(t, "changed") {
			i := rapid.IntRange(0, len(covered)-1).Draw(t, "at")
			presented[i].Content += "x"
			next = nil
		}
		h := sequencer.Chain(toJSON(t, presented), token.GetMessages())
		err := sequencer.Check(token, "o", "p", h)
		if accepted := err == nil; accepted != (len(next) > 0) {
			t.Errorf("accepted %t with %d new messages: %v", accepted, len(next), err)
		}
	})
}

// When common client libraries send an answer back, they reorder its fields, and
// add or drop empty fields. The digest must not change.
func TestDigestIgnoresSpelling(t *testing.T) {
	equivalent := []string{
		`{"role":"assistant","content":"a","tool_calls":[{"id":"1","type":"function","function":{"name":"f","arguments":"{}"}}]}`,
		`{"tool_calls":[{"function":{"arguments":"{}","name":"f"},"type":"function","id":"1"}],"content":"a","refusal":null,"role":"assistant"}`,
	}
	var want sequencer.Digest
	want = want.Extend(gjson.Parse(equivalent[0]))
	var got sequencer.Digest
	got = got.Extend(gjson.Parse(equivalent[1]))
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("digest (-want +got):\n%s", diff)
	}
}

func TestFollowRefusesOtherPrograms(t *testing.T) {
	s := newSigner(t, newKey)
	seal := func(program, organisation string, number int64) string {
		text, err := s.Seal(&recorder.Token{Program: program, Organisation: organisation, Number: number})
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	for _, c := range []struct {
		name  string
		texts []string
		want  string
	}{
		{"own", []string{seal("p", "o", 1)}, "1"},
		{"joined", []string{seal("p", "o", 1), seal("p", "o", 3), seal("p", "o", 2)}, "3"},
		{"other organisation", []string{seal("p", "x", 1)}, "foreign"},
		{"joined with another program", []string{seal("p", "o", 1), seal("q", "o", 2)}, "foreign"},
		{"no token", []string{"abc"}, "forged"},
	} {
		t.Run(c.name, func(t *testing.T) {
			token, err := s.Follow(c.texts, "o", "")
			got := fmt.Sprint(token.GetNumber())
			if err != nil {
				got = string(refuser.From(err).Reason)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}

func FuzzOpen(f *testing.F) {
	s := newSigner(f, newKey)
	text, err := s.Seal(&recorder.Token{Program: "p"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add("CgEyEgEz")
	f.Fuzz(func(t *testing.T, other string) {
		token, err := s.Open(other)
		if err == nil && token.GetProgram() != "p" {
			t.Errorf("opened %q as %v", other, token)
		}
	})
}
