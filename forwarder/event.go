package forwarder

import (
	"bytes"
)

// splitter cuts a stream of server-sent events into whole events.
type splitter struct {
	buffer []byte
}

// push adds bytes and returns the whole events among what was pushed so far,
// valid until the next push.
func (s *splitter) push(p []byte) [][]byte {
	s.buffer = append(s.buffer, p...)
	var events [][]byte
	rest := s.buffer
	for {
		end := eventEnd(rest)
		if end < 0 {
			break
		}
		events = append(events, rest[:end:end])
		rest = rest[end:]
	}
	s.buffer = append([]byte(nil), rest...)
	return events
}

// rest returns the bytes of an event that is not whole.
func (s *splitter) rest() []byte { return s.buffer }

// eventEnd returns the length of the first event with its blank line, or -1.
func eventEnd(p []byte) int {
	end := -1
	for _, blank := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(p, blank); i >= 0 && (end < 0 || i+len(blank) < end) {
			end = i + len(blank)
		}
	}
	return end
}

// event is what matters of one server-sent event.
type event struct {
	id   string
	data []byte
	// counted says that the event has data.
	counted bool
}

// parseEvent reads an event's lines.
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
			if e.counted {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			e.counted = true
		}
	}
	return e
}
