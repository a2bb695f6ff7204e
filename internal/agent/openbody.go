package agent

import (
	"io"

	"github.com/go-faster/errors"
)

// errServerEnded reports an answer without a length whose server has ended with it.
var errServerEnded = errors.New("the backend server ended with its answer, which may not be whole")

// openBody is the body of an answer that ends with its connection. It fails at its end unless the server is alive.
type openBody struct {
	io.ReadCloser
	isAlive func() bool
}

// Read implements io.Reader.
func (b *openBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.isAlive() {
		err = errServerEnded
	}
	return n, err
}
