package sequencer

import (
	"bytes"
	"fmt"

	"github.com/citronpier/citronpier/recorder"
	"github.com/citronpier/citronpier/refuser"
)

// HistoryError says that a call's messages do not extend its program's history.
type HistoryError struct {
	Program  string
	Covered  int64
	Received int64
}

// Error describes the failure.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("the %d messages do not extend the %d messages of program %s",
		e.Received, e.Covered, e.Program)
}

// ForeignError says that a token belongs to another program or organisation.
type ForeignError struct{ Program string }

// Error describes the failure.
func (e *ForeignError) Error() string {
	return "token belongs to another program or organisation than " + e.Program
}

// Check verifies that a call may follow the call whose answer carried the
// token: same organisation, same program, and a history that extends it.
func Check(t *recorder.Token, organisation, program string, h History) error {
	if err := CheckOwner(t, organisation, program); err != nil {
		return err
	}
	if t.GetMessages() == 0 {
		return nil
	}
	extends := h.Count > t.GetMessages() && bytes.Equal(h.Preceding[:], t.GetDigest())
	if !extends {
		return &HistoryError{Program: t.GetProgram(), Covered: t.GetMessages(), Received: h.Count}
	}
	return nil
}

// CheckOwner verifies that a token belongs to the organisation and program.
func CheckOwner(t *recorder.Token, organisation, program string) error {
	owned := t.GetOrganisation() == organisation
	if owned && (program == "" || t.GetProgram() == program) {
		return nil
	}
	return &ForeignError{Program: program}
}

// Join returns the predecessor of a call that follows several calls of one
// program. The call's number follows the highest of them.
func Join(tokens []*recorder.Token) (*recorder.Token, error) {
	last := tokens[0]
	for _, t := range tokens[1:] {
		if t.GetProgram() != last.GetProgram() || t.GetOrganisation() != last.GetOrganisation() {
			return nil, &ForeignError{Program: last.GetProgram()}
		}
		if t.GetNumber() > last.GetNumber() {
			last = t
		}
	}
	return last, nil
}

// Follow opens the tokens that a call presents, at least one, and returns the
// one that it follows. The call must belong to the organisation and, where it
// names one, to the program.
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
	joined, err := Join(tokens)
	if err != nil {
		return nil, refuser.New(refuser.Foreign, "%w", err)
	}
	return joined, nil
}
