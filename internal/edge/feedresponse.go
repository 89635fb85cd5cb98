package edge

import (
	"context"
	"io"
	"time"
)

// feedResponse is a response of the command channel whose first bytes have arrived.
type feedResponse struct {
	ctx            context.Context
	cancel         context.CancelCauseFunc
	end            context.CancelFunc // of the context of the request
	body           io.ReadCloser
	silence        *time.Timer // ends the response when it expires
	first          []byte      // bytes that have arrived
	firstByteAfter time.Duration
	buf            [4096]byte
}

// read waits for the next bytes. They are valid until the next call.
func (r *feedResponse) read() ([]byte, error) {
	for {
		n, err := r.body.Read(r.buf[:])
		if n > 0 {
			return r.buf[:n], nil // an error comes again with the next call
		}
		if err != nil {
			return nil, err
		}
	}
}

// close ends the response.
func (r *feedResponse) close() {
	r.silence.Stop()
	r.cancel(nil)
	r.body.Close()
	if r.end != nil {
		r.end()
	}
}
