package forwarder

import (
	"bytes"
	"fmt"
)

// splitter splits a stream of server-sent events into complete events.
type splitter struct {
	// buffer has the bytes of the stream from the events that the last push returned on.
	buffer []byte
	// returned is the number of bytes of these events.
	returned int
}

// maxEventBytes is the maximum size of an event in bytes.
const maxEventBytes = 1 << 20

// EventTooLongError reports a stream in which an event does not end within maxEventBytes.
type EventTooLongError struct{}

// Error implements the error interface.
func (*EventTooLongError) Error() string {
	return fmt.Sprintf("event of the stream is longer than %d bytes", maxEventBytes)
}

// push appends bytes of the stream and returns the events that are complete now, each
// including the blank line that ends it. The returned slices are valid until the next
// push. The error is an *EventTooLongError.
func (s *splitter) push(p []byte) ([][]byte, error) {
	s.buffer = append(s.buffer[:0], s.buffer[s.returned:]...)
	s.returned = 0
	// The blank line of the first event may have begun in the bytes before.
	searched := max(0, len(s.buffer)-maxBlankLineBytes)
	s.buffer = append(s.buffer, p...)
	var events [][]byte
	for {
		end := eventEnd(s.buffer[searched:])
		if end < 0 {
			break
		}
		events = append(events, s.buffer[s.returned:searched+end:searched+end])
		searched += end
		s.returned = searched
	}
	if len(s.buffer)-s.returned > maxEventBytes {
		return events, &EventTooLongError{}
	}
	return events, nil
}

// rest returns the bytes after the last complete event.
func (s *splitter) rest() []byte { return s.buffer[s.returned:] }

// size returns the memory of the splitter in bytes.
func (s *splitter) size() int { return cap(s.buffer) }

// maxBlankLineBytes is the size of the longest blank line between two events, in bytes.
const maxBlankLineBytes = 4

// eventEnd returns the length of the first event including its blank line, or -1 if p
// contains no complete event.
func eventEnd(p []byte) int {
	end := -1
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(p, blank); i >= 0 && (end < 0 || i+len(blank) < end) {
			end = i + len(blank)
		}
	}
	return end
}

// event has the parsed fields of one server-sent event.
type event struct {
	id string
	// data is the value of all data lines, joined by line feeds.
	data []byte
	// hasData reports whether the event has a data line, which may be empty. An event
	// without a data line counts as no tokens.
	hasData bool
}

// MalformedEventError reports bytes in a stream that are no event, such as the text of an error
// or the head of a response.
type MalformedEventError struct {
	// Line is the beginning of the first line that is wrong.
	Line string
}

// Error implements the error interface.
func (e *MalformedEventError) Error() string {
	return fmt.Sprintf("line %q is not part of an event", e.Line)
}

// newMalformedEventError returns the error for a line.
func newMalformedEventError(line []byte) error {
	const maxLine = 80
	return &MalformedEventError{Line: string(line[:min(len(line), maxLine)])}
}

// parseEvent parses the id and data lines of an event. The other lines may be comments and
// fields, of which one at least has to be known: a field with any name may be the text of an
// error. The error is a *MalformedEventError.
func parseEvent(p []byte) (event, error) {
	var e event
	var unknown []byte
	known := false
	for line := range bytes.SplitSeq(p, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, hasColon := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(bytes.TrimPrefix(name, byteOrderMark)) {
		case "id":
			e.id = string(value)
			known = true
		case "data":
			if e.hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			e.hasData, known = true, true
		case "event", "retry", "":
			known = known || len(line) > 0
		default:
			if !hasColon || !isFieldName(name) {
				return event{}, newMalformedEventError(line)
			}
			unknown = line
		}
	}
	if unknown != nil && !known {
		return event{}, newMalformedEventError(unknown)
	}
	return e, nil
}

// byteOrderMark may precede the first event of a stream.
var byteOrderMark = []byte("\ufeff")

// isFieldName reports whether an event may have a field with a name that is not one of the
// standard ones.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
