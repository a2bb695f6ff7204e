package response

import (
	"bufio"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// maxInterim limits the interim responses before a final one.
const maxInterim = 5

// ErrTooManyInterim is the error of a connection with too many interim responses before the final one.
var ErrTooManyInterim = errors.New("too many interim responses came before the final one")

// Reader reads the responses that arrive on a connection. It is not safe for concurrent use.
type Reader struct {
	in *checkedReader
	br *bufio.Reader
}

// NewReader returns a Reader of the responses in r. checkEnd is called if r ends in a body that ends with its connection,
// and returns an error unless the connection has ended in order.
func NewReader(r io.Reader, checkEnd func() error) *Reader {
	in := &checkedReader{r: r, checkEnd: checkEnd}
	return &Reader{in: in, br: bufio.NewReader(in)}
}

// Next reads the head of the next final response, which answers req, and skips interim ones. Its body is to be read
// before the next call.
//
// The error is or wraps a *[SyntaxError], an *[InvalidStatusError] or a *bounded.TooLargeError if the bytes are no
// response. Reading the body may return these errors too.
func (r *Reader) Next(req *http.Request) (*http.Response, error) {
	r.in.scanner.answersHead = req.Method == http.MethodHead
	for range maxInterim {
		resp, err := http.ReadResponse(r.br, req)
		if err != nil {
			return nil, err
		}
		if !IsInterim(resp.StatusCode) {
			return resp, nil
		}
	}
	return nil, ErrTooManyInterim
}

// IsBetweenResponses reports whether nothing has arrived after the last response, which was read to its end.
func (r *Reader) IsBetweenResponses() bool {
	return r.br.Buffered() == 0 && r.in.err == nil && r.in.scanner.isBetweenResponses()
}

// checkedReader passes on the bytes of responses, and fails at the first byte that belongs to none.
type checkedReader struct {
	r        io.Reader
	checkEnd func() error
	scanner  scanner
	err      error
}

// Read implements io.Reader.
func (c *checkedReader) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.r.Read(p)
	valid, malformed := c.scanner.scan(p[:n])
	switch {
	case malformed != nil:
		c.err = malformed
		if valid > 0 {
			return valid, nil
		}
		return 0, malformed
	case err == io.EOF && c.scanner.state == inOpenBody:
		return n, c.end()
	}
	return n, err
}

// end returns io.EOF if the connection has ended in order, so that a body that ends with it is whole.
func (c *checkedReader) end() error {
	if err := c.checkEnd(); err != nil {
		c.err = errors.Wrap(err, "the body ends with the connection")
		return c.err
	}
	return io.EOF
}
