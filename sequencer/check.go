package sequencer

import (
	"bytes"
	"fmt"

	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/refuser"
)

// HistoryError reports that a call's messages do not extend its program's history.
type HistoryError struct {
	// Program is the ID of the program.
	Program string
	// Covered is the number of messages that the token's digest covers.
	Covered int64
	// Received is the number of messages in the call.
	Received int64
}

// Error implements the error interface.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("the %d messages do not extend the %d messages of program %s",
		e.Received, e.Covered, e.Program)
}

// ForeignError reports that a token belongs to another organisation than the call,
// or to another program than the expected program. The field Program is the
// expected program; it is empty if the call named no program.
type ForeignError struct{ Program string }

// Error implements the error interface.
func (e *ForeignError) Error() string {
	return "token belongs to another program or organisation than " + e.Program
}

// Check verifies that a call may follow the call whose answer carried the token t.
// If the call and the token belong to different organisations or programs, Check
// returns a *ForeignError. The call's messages, with history h, must be the
// messages that the token covers and at least one more message. Otherwise Check
// returns a *HistoryError. A token that covers no messages does not restrict the
// history.
func Check(t *recorder.Token, organisation, program string, h History) error {
	if err := CheckOwner(t, organisation, program); err != nil {
		return err
	}
	if t.GetMessages() == 0 {
		return nil
	}
	extends := h.Count > t.GetMessages() && bytes.Equal(h.CoveredDigest[:], t.GetDigest())
	if !extends {
		return &HistoryError{Program: t.GetProgram(), Covered: t.GetMessages(), Received: h.Count}
	}
	return nil
}

// CheckOwner verifies that a token belongs to the organisation and, unless program
// is empty, to the program. Otherwise it returns a *ForeignError.
func CheckOwner(t *recorder.Token, organisation, program string) error {
	sameOrganisation := t.GetOrganisation() == organisation
	if sameOrganisation && (program == "" || t.GetProgram() == program) {
		return nil
	}
	return &ForeignError{Program: program}
}

// LatestToken returns the token with the highest call number among the tokens that
// a call presents; the call continues from this token. There must be at least one
// token. If the tokens are of different programs or organisations, LatestToken
// returns a *ForeignError.
func LatestToken(tokens []*recorder.Token) (*recorder.Token, error) {
	latest := tokens[0]
	for _, t := range tokens[1:] {
		if t.GetProgram() != latest.GetProgram() || t.GetOrganisation() != latest.GetOrganisation() {
			return nil, &ForeignError{Program: latest.GetProgram()}
		}
		if t.GetNumber() > latest.GetNumber() {
			latest = t
		}
	}
	return latest, nil
}

// Follow opens the tokens that a call presents and returns the token with the
// highest call number. There must be at least one token. The call is refused as
// Forged if a token is not valid, and as Foreign if a token does not belong to the
// organisation or, unless program is empty, to the program.
func (s *Signer) Follow(texts []string, organisation, program string) (*recorder.Token, error) {
	tokens := make([]*recorder.Token, 0, len(texts))
	for _, text := range texts {
		t, err := s.Open(text)
		if err != nil {
			return nil, refuser.New(refuser.Forged, "%w", err)
		}
		if err := CheckOwner(t, organisation, program); err != nil {
			return nil, refuser.New(refuser.Foreign, "%w", err)
		}
		tokens = append(tokens, t)
	}
	joined, err := LatestToken(tokens)
	if err != nil {
		return nil, refuser.New(refuser.Foreign, "%w", err)
	}
	return joined, nil
}
