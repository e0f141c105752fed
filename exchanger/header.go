package exchanger

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/citronpier/citronpier/allocator"
	"github.com/citronpier/citronpier/validator"
)

const (
	// maxHeaderBytes is the maximum size in bytes of the header of a response, together with
	// the interim responses before it.
	maxHeaderBytes = 256 << 10
	// headerFactor is the memory that a header takes while it is parsed, in multiples of its
	// bytes: it is held in a growing buffer, and its fields are copied.
	headerFactor = 4
)

// HeaderTooLongError reports that an upstream sent more than maxHeaderBytes without
// completing the header of a response.
type HeaderTooLongError struct{}

// Error implements the error interface.
func (*HeaderTooLongError) Error() string {
	return fmt.Sprintf("header of the response is longer than %d bytes", maxHeaderBytes)
}

// headerReader reads from a connection. Between begin and end it bounds what is read. It is
// not safe for concurrent use.
type headerReader struct {
	source io.Reader
	// grant is the memory of the header that is being read; nil between headers.
	grant *allocator.Grant
	// read is the number of bytes of the header read so far.
	read int64
	// err is why the rest of the header is not read: a *HeaderTooLongError or an
	// *allocator.ExhaustedError.
	err error
}

// begin begins a header that takes its memory from a grant.
func (r *headerReader) begin(grant *allocator.Grant) { r.grant, r.read, r.err = grant, 0, nil }

// end ends the header. What is read from now on is not bounded.
func (r *headerReader) end() { r.grant = nil }

// Read implements io.Reader.
func (r *headerReader) Read(p []byte) (int, error) {
	if r.grant == nil {
		return r.source.Read(p)
	}
	if r.err = r.reserve(int64(len(p))); r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(p)
	r.read += int64(n)
	return n, err
}

// reserve takes the memory for more bytes of the header.
func (r *headerReader) reserve(bytes int64) error {
	if r.read >= maxHeaderBytes {
		return &HeaderTooLongError{}
	}
	return r.grant.Resize(headerFactor * (r.read + bytes))
}

// readHeader reads the header of the next response and skips interim responses. The method
// of the request decides whether a body follows. grant is the memory of the header.
func (c *conn) readHeader(method string, grant *allocator.Grant) (*http.Response, error) {
	c.header.begin(grant)
	defer c.header.end()
	for {
		if err := c.awaitHead(); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, &FramingError{Cause: err}
		}
		if !validator.IsInterim(response.StatusCode) {
			return response, nil
		}
	}
}

// awaitHead waits until the head of the next response is in the buffer, and checks it. It reads
// nothing from the buffer. The error is a *validator.StatusError or a *validator.HeadError as
// soon as a line is wrong; what follows such a line belongs to no request.
func (c *conn) awaitHead() error {
	var head validator.Head
	// line is where the next line begins in the buffer, and searched where the bytes begin
	// that were not yet searched for its end.
	line, searched := 0, 0
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		length := bytes.IndexByte(buffered[searched:], '\n')
		if length < 0 {
			searched = len(buffered)
			if err := c.fill(); err != nil {
				return err
			}
			continue
		}
		end := searched + length + 1
		if last, err := head.Line(buffered[line:end]); err != nil || last {
			return err
		}
		line, searched = end, end
	}
}

// fill reads more of a header into the buffer, which grows if it is full.
func (c *conn) fill() error {
	if c.reader.Buffered() == c.reader.Size() {
		if c.reader.Size() >= maxHeaderBytes {
			return &HeaderTooLongError{}
		}
		c.grow()
	}
	_, err := c.reader.Peek(c.reader.Buffered() + 1)
	if c.header.err != nil {
		return c.header.err
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// grow doubles the read buffer, which is full and keeps its bytes.
func (c *conn) grow() {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), c.header), 2*c.reader.Size())
	_, _ = c.reader.Peek(len(buffered))
}

// shrink returns a read buffer that has grown to its first size. The buffer must be empty.
func (c *conn) shrink() {
	if c.reader.Size() > readBuffer {
		c.reader = bufio.NewReaderSize(c.header, readBuffer)
	}
}
