package arbiter_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/citronpier/citronpier/arbiter"
	"github.com/citronpier/citronpier/recorder"
)

// TestSentAtMostOnce guards against two senders that both send the call of one key.
// Senders append intents, read the log at any later time, and then send the call or
// release the key, in random order.
func TestSentAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []*recorder.Record
		type sender struct {
			name string
			// intentOffset is the log offset of the sender's intent.
			intentOffset int
			// acted is set once the sender has read the log and asked for a
			// verdict. Each sender does so once.
			acted bool
		}
		var senders []*sender
		sent := 0
		pickSender := func(t *rapid.T) *sender {
			if len(senders) == 0 {
				t.Skip("no sender yet")
			}
			return rapid.SampledFrom(senders).Draw(t, "sender")
		}
		// ledger returns the state after the first n records of the log.
		ledger := func(n int) *arbiter.Ledger {
			var l arbiter.Ledger
			for offset, r := range log[:n] {
				l.Apply(int64(offset), r)
			}
			return &l
		}
		t.Repeat(map[string]func(*rapid.T){
			"intend": func(t *rapid.T) {
				if len(senders) > 10 {
					t.Skip("enough senders")
				}
				s := &sender{name: string(rune('a' + len(senders))), intentOffset: len(log)}
				senders = append(senders, s)
				log = append(log, &recorder.Record{Body: &recorder.Record_Intent{
					Intent: &recorder.Intent{Key: "k", Sender: s.name, Digest: []byte("d")},
				}})
			},
			"act": func(t *rapid.T) {
				s := pickSender(t)
				if s.acted {
					return
				}
				s.acted = true
				// The sender may read the log late: it sees its own intent and any
				// number of the records after it.
				seen := rapid.IntRange(s.intentOffset+1, len(log)).Draw(t, "seen")
				if _, owned := ledger(seen).Verdict("k", s.name, []byte("d")).(arbiter.Owned); !owned {
					return
				}
				if rapid.Bool().Draw(t, "unsent") {
					log = append(log, &recorder.Record{Body: &recorder.Record_Release{
						Release: &recorder.Release{Key: "k", Sender: s.name},
					}})
					return
				}
				sent++
				if rapid.Bool().Draw(t, "recorded") {
					log = append(log, &recorder.Record{Body: &recorder.Record_Outcome{
						Outcome: &recorder.Outcome{Key: "k", Sender: s.name, Status: 200},
					}})
				}
			},
			"": func(t *rapid.T) {
				if sent > 1 {
					t.Fatalf("call was sent %d times, want at most once", sent)
				}
			},
		})
	})
}

// TestVerdict checks the verdicts after two senders have appended an intent for the
// same key and neither has recorded an outcome.
func TestVerdict(t *testing.T) {
	var l arbiter.Ledger
	l.Apply(4, &recorder.Record{Body: &recorder.Record_Intent{
		Intent: &recorder.Intent{Key: "k", Sender: "a", Digest: []byte("d"), Host: "h"},
	}})
	l.Apply(5, &recorder.Record{Body: &recorder.Record_Intent{
		Intent: &recorder.Intent{Key: "k", Sender: "b", Digest: []byte("d"), Host: "i"},
	}})
	for _, c := range []struct {
		name, key, sender, digest string
		want                      arbiter.Verdict
	}{
		{"winner", "k", "a", "d", arbiter.Owned{Fence: 4}},
		{"loser", "k", "b", "d", arbiter.OwnedByOther{Host: "h"}},
		{"other request", "k", "a", "e", arbiter.Conflict{}},
		{"other key", "j", "a", "d", arbiter.Free{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := l.Verdict(c.key, c.sender, []byte(c.digest))
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
		})
	}
}
