package forwarder

import (
	"fmt"
	"strconv"
)

// sequence follows the ids of a stream's events, over all responses that the stream is made of.
// The zero value is a stream without events. It is not safe for concurrent use.
type sequence struct {
	// last is the id of the last event that the caller has received, or empty.
	last string
	// sparse is set once the numbers of two successive events differed by more than one.
	sparse bool
	// joining is set while the next event is the first one of a response that is to go on
	// after last.
	joining bool
}

// DiscontinuousError reports that the rest of a stream does not begin after the last event that
// the caller has received.
type DiscontinuousError struct {
	// Last is the id of that event, and Next the one with which the rest begins. Next is empty
	// if the first event has none.
	Last, Next string
}

// Error implements the error interface.
func (e *DiscontinuousError) Error() string {
	return fmt.Sprintf("rest of the stream after event %q begins with event %q", e.Last, e.Next)
}

// begin begins a response that goes on after the last event, if there is one.
func (s *sequence) begin() { s.joining = s.last != "" }

// accept takes an event with data or an id. The error is a *DiscontinuousError: the event does
// not follow the last one.
func (s *sequence) accept(id string) error {
	if s.joining && !s.isNext(id) {
		return &DiscontinuousError{Last: s.last, Next: id}
	}
	s.joining = false
	if id == "" {
		return nil
	}
	if last, next, ok := numbers(s.last, id); ok && next != last+1 {
		s.sparse = true
	}
	s.last = id
	return nil
}

// isNext reports whether an event with the given id may follow the last one. Where the ids
// are numbers they increase, by one if they did so far. Other ids can't be compared.
func (s *sequence) isNext(id string) bool {
	last, next, ok := numbers(s.last, id)
	if !ok {
		return id != "" && id != s.last
	}
	return next == last+1 || (s.sparse && next > last)
}

// numbers returns two ids as numbers, and true if both are numbers.
func numbers(a, b string) (first, second uint64, ok bool) {
	first, firstErr := strconv.ParseUint(a, 10, 64)
	second, secondErr := strconv.ParseUint(b, 10, 64)
	return first, second, firstErr == nil && secondErr == nil
}
