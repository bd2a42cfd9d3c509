// Package peer carries calls between the instances of a cell: net/rpc with
// CBOR bodies over TCP, with mutual TLS when certificates are set and a
// deadline on every call.
package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net/rpc"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

const (
	frameHeader = 4
	// maxFrame bounds one request or reply, in bytes.
	maxFrame   = 16 << 20
	bufferSize = 64 << 10
)

// Errors of the wire.
var (
	// ErrFrame is returned for a frame that is too large or can't be read.
	ErrFrame = errors.New("malformed frame")
)

// frames reads and writes values, each behind its length.
type frames struct {
	conn   io.ReadWriteCloser
	reader *bufio.Reader
	body   []byte

	mu     sync.Mutex
	writer *bufio.Writer
}

func newFrames(conn io.ReadWriteCloser) *frames {
	return &frames{
		conn:   conn,
		reader: bufio.NewReaderSize(conn, bufferSize),
		writer: bufio.NewWriterSize(conn, bufferSize),
	}
}

type header struct {
	Method string `cbor:"1,keyasint,omitempty"`
	Seq    uint64 `cbor:"2,keyasint"`
	Error  string `cbor:"3,keyasint,omitempty"`
}

func (f *frames) write(h header, body any) error {
	head, err := cbor.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "encode header")
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode body")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, part := range [][]byte{head, data} {
		var length [frameHeader]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		if _, err := f.writer.Write(length[:]); err != nil {
			return errors.Wrap(err, "write frame")
		}
		if _, err := f.writer.Write(part); err != nil {
			return errors.Wrap(err, "write frame")
		}
	}
	if err := f.writer.Flush(); err != nil {
		return errors.Wrap(err, "flush frame")
	}
	return nil
}

func (f *frames) read() ([]byte, error) {
	var length [frameHeader]byte
	if _, err := io.ReadFull(f.reader, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxFrame {
		return nil, errors.Wrapf(ErrFrame, "%d bytes", size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(f.reader, data); err != nil {
		return nil, err
	}
	return data, nil
}

// readHead reads a header and keeps the body that follows it.
func (f *frames) readHead() (header, error) {
	head, err := f.read()
	if err != nil {
		return header{}, err
	}
	var h header
	if err := cbor.Unmarshal(head, &h); err != nil {
		return header{}, errors.Wrapf(ErrFrame, "header: %s", err)
	}
	f.body, err = f.read()
	return h, err
}

func (f *frames) decodeBody(body any) error {
	if body == nil {
		return nil
	}
	if err := cbor.Unmarshal(f.body, body); err != nil {
		return errors.Wrapf(ErrFrame, "body: %s", err)
	}
	return nil
}

// serverCodec is the net/rpc codec of the called side.
type serverCodec struct{ *frames }

var _ rpc.ServerCodec = serverCodec{}

// ReadRequestHeader reads a request.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	h, err := c.readHead()
	r.ServiceMethod = h.Method
	r.Seq = h.Seq
	return err
}

// ReadRequestBody decodes the request's body.
func (c serverCodec) ReadRequestBody(body any) error {
	return c.decodeBody(body)
}

// WriteResponse writes a reply.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	return c.write(header{
		Method: r.ServiceMethod,
		Seq:    r.Seq,
		Error:  r.Error,
	}, body)
}

// Close closes the connection.
func (c serverCodec) Close() error {
	return c.conn.Close()
}

// clientCodec is the net/rpc codec of the calling side.
type clientCodec struct{ *frames }

var _ rpc.ClientCodec = clientCodec{}

// WriteRequest writes a request.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(header{
		Method: r.ServiceMethod,
		Seq:    r.Seq,
	}, body)
}

// ReadResponseHeader reads a reply.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	h, err := c.readHead()
	r.ServiceMethod = h.Method
	r.Seq = h.Seq
	r.Error = h.Error
	return err
}

// ReadResponseBody decodes the reply's body.
func (c clientCodec) ReadResponseBody(body any) error {
	return c.decodeBody(body)
}

// Close closes the connection.
func (c clientCodec) Close() error {
	return c.conn.Close()
}
