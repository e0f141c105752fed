package validator

import (
	"bytes"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// HeadError reports a line that no head of a response has.
type HeadError struct {
	// Problem says what is wrong with the line.
	Problem string
	// Line is the start of the line, or the name of the field.
	Line string
}

// Error implements the error interface.
func (e *HeadError) Error() string {
	return fmt.Sprintf("head of the response is malformed: %s in %q", e.Problem, e.Line)
}

// maxQuotedBytes is the maximum number of bytes of a line that a HeadError quotes.
const maxQuotedBytes = 80

func newHeadError(problem string, line []byte) *HeadError {
	return &HeadError{Problem: problem, Line: string(line[:min(len(line), maxQuotedBytes)])}
}

// Head checks the head of one response line by line (RFC 9112, sections 4 and 5). Where the
// grammar leaves the choice to the recipient, a line is refused: lines end with CRLF and are
// not folded. The zero value expects the status line.
type Head struct {
	// begun is true once the status line was checked.
	begun bool
	// minor is the minor version of the response, as a digit.
	minor byte
}

// Line checks the next line, which ends with a line feed. It reports whether the line ends the
// head. The error is a *StatusError or a *HeadError.
func (h *Head) Line(line []byte) (last bool, err error) {
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	switch {
	case !ok:
		return false, newHeadError("a line feed without a carriage return", line)
	case !h.begun:
		h.begun = true
		return false, h.statusLine(text)
	case len(text) == 0:
		return true, nil
	default:
		return false, h.fieldLine(text)
	}
}

// The parts of a status line, up to its status code.
const (
	versionPrefix = "HTTP/1."
	codeBegin     = len(versionPrefix) + len("1 ")
	codeEnd       = codeBegin + len("200")
)

// statusLine checks a status line. The blank after the code may be missing if there is no reason.
func (h *Head) statusLine(line []byte) error {
	if len(line) < codeEnd || !bytes.HasPrefix(line, []byte(versionPrefix)) || line[codeBegin-1] != ' ' {
		return newHeadError("no status line", line)
	}
	h.minor = line[codeBegin-2]
	if !isDigit(h.minor) {
		return newHeadError("no version", line)
	}
	code := 0
	for _, c := range line[codeBegin:codeEnd] {
		if !isDigit(c) {
			return newHeadError("no status code", line)
		}
		code = code*10 + int(c-'0')
	}
	reason := line[codeEnd:]
	if len(reason) > 0 && reason[0] != ' ' || !httpguts.ValidHeaderFieldValue(string(reason)) {
		return newHeadError("no reason phrase", line)
	}
	return Status(code)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// fieldLine checks a line with a header field.
func (h *Head) fieldLine(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found || !httpguts.ValidHeaderFieldName(string(name)):
		return newHeadError("no field name", line)
	case !httpguts.ValidHeaderFieldValue(string(value)):
		return newHeadError("no field value", line)
	case h.minor == '0' && http.CanonicalHeaderKey(string(name)) == "Transfer-Encoding":
		// HTTP/1.0 has no chunks, and net/http takes their framing for the body.
		return newHeadError("an encoding that the version doesn't have", line)
	default:
		return nil
	}
}

// Fields checks the names of the fields of a parsed header or trailer. Their values were checked
// when they were parsed. The error is a *HeadError.
func Fields(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return newHeadError("no field name", []byte(name))
		}
	}
	return nil
}
