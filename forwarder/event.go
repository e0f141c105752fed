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

// parseEvent parses the id and data lines of an event and ignores all others.
func parseEvent(p []byte) event {
	var e event
	for line := range bytes.SplitSeq(p, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.id = string(value)
		case "data":
			if e.hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			e.hasData = true
		}
	}
	return e
}
