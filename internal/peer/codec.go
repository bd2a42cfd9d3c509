// Package peer implements RPC between the instances of a cell: net/rpc with
// CBOR encoding over TCP, with mutual TLS if certificates are configured and a
// deadline on every call.
package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

const (
	// lengthSize is the size in bytes of the length prefix of a frame.
	lengthSize = 4
	// maxFrameSize is the maximum size in bytes of one frame: the header or the
	// body of a request or reply.
	maxFrameSize = 16 << 20
	// bufferSize is the size in bytes of each of the buffers of a connection.
	bufferSize = 16 << 10
	// firstFrameBuffer is the size in bytes of the first buffer of a large frame, and
	// growthFactor how many times larger the buffer gets each time.
	firstFrameBuffer = 256 << 10
	growthFactor     = 4
)

var (
	// ErrMalformedFrame is returned for a frame that is too large or cannot be
	// decoded.
	ErrMalformedFrame = errors.New("malformed frame")
	// ErrUnsendable is returned for a message that the receiver would refuse.
	// Nothing of it has been sent.
	ErrUnsendable = errors.New("message cannot be sent")
)

// decoder returns the decoder of messages. It takes text that is not valid UTF-8,
// because errors may hold any bytes that came over a network.
var decoder = sync.OnceValues(func() (cbor.DecMode, error) {
	return cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
})

// decode decodes a part of a message.
func decode(data []byte, into any) error {
	mode, err := decoder()
	if err != nil {
		return err
	}
	return mode.Unmarshal(data, into)
}

// encode encodes a part of a message. It returns ErrUnsendable if the receiver could
// not decode it.
func encode(part any) ([]byte, error) {
	data, err := cbor.Marshal(part)
	if err != nil {
		return nil, errors.Wrapf(ErrUnsendable, "%s", err)
	}
	if len(data) > maxFrameSize {
		return nil, errors.Wrapf(ErrUnsendable, "%d bytes exceed the frame size limit", len(data))
	}
	mode, err := decoder()
	if err == nil {
		err = mode.Wellformed(data)
	}
	if err != nil {
		return nil, errors.Wrapf(ErrUnsendable, "%s", err)
	}
	return data, nil
}

// framedConn reads and writes CBOR values, each prefixed with its length.
type framedConn struct {
	conn   io.ReadWriteCloser
	reader *bufio.Reader
	body   []byte

	mu     sync.Mutex
	writer *bufio.Writer
}

func newFramedConn(conn io.ReadWriteCloser) *framedConn {
	return &framedConn{
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

func (f *framedConn) writeMessage(h header, body any) error {
	head, err := encode(h)
	if err != nil {
		return errors.Wrap(err, "encode header")
	}
	data, err := encode(body)
	if err != nil {
		return errors.Wrap(err, "encode body")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, part := range [][]byte{head, data} {
		var length [lengthSize]byte
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

func (f *framedConn) readFrame() ([]byte, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(f.reader, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxFrameSize {
		return nil, errors.Wrapf(ErrMalformedFrame, "%d bytes exceed the frame size limit", size)
	}
	return f.readGrowing(int(size))
}

// readGrowing reads a frame of the size into a buffer that grows with what has arrived, so
// that a sender which announces a large frame takes no memory before it sends it.
func (f *framedConn) readGrowing(size int) ([]byte, error) {
	data := make([]byte, 0, min(size, firstFrameBuffer))
	for len(data) < size {
		if len(data) == cap(data) {
			larger := make([]byte, len(data), min(size, growthFactor*cap(data)))
			copy(larger, data)
			data = larger
		}
		n, err := io.ReadFull(f.reader, data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return nil, err
		}
	}
	return data, nil
}

// readHeader reads a header, and stores the body that follows it for decodeBody.
func (f *framedConn) readHeader() (header, error) {
	head, err := f.readFrame()
	if err != nil {
		return header{}, err
	}
	var h header
	if err := decode(head, &h); err != nil {
		return header{}, errors.Wrapf(ErrMalformedFrame, "decode header: %s", err)
	}
	f.body, err = f.readFrame()
	return h, err
}

func (f *framedConn) decodeBody(body any) error {
	if body == nil {
		return nil
	}
	if err := decode(f.body, body); err != nil {
		return errors.Wrapf(ErrMalformedFrame, "body: %s", err)
	}
	return nil
}

// serverCodec is the net/rpc codec of a server.
type serverCodec struct {
	*framedConn

	// calledAt takes the time of each request, in nanoseconds of Unix time.
	calledAt *atomic.Int64
}

var _ rpc.ServerCodec = serverCodec{}

// ReadRequestHeader reads a request and decodes its header.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	h, err := c.readHeader()
	r.ServiceMethod = h.Method
	r.Seq = h.Seq
	if err == nil {
		c.calledAt.Store(time.Now().UnixNano())
	}
	return err
}

// ReadRequestBody decodes the body of the request read last.
func (c serverCodec) ReadRequestBody(body any) error {
	return c.decodeBody(body)
}

// WriteResponse writes a reply. Instead of one that cannot be sent it writes an error,
// so that the caller does not wait.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	reply := header{
		Method: r.ServiceMethod,
		Seq:    r.Seq,
		Error:  r.Error,
	}
	err := c.writeMessage(reply, body)
	if !errors.Is(err, ErrUnsendable) {
		return err
	}
	reply.Error = err.Error()
	return c.writeMessage(reply, Empty{})
}

// Close closes the connection.
func (c serverCodec) Close() error {
	return c.conn.Close()
}

// clientCodec is the net/rpc codec of a client.
type clientCodec struct{ *framedConn }

var _ rpc.ClientCodec = clientCodec{}

// WriteRequest writes a request.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.writeMessage(header{
		Method: r.ServiceMethod,
		Seq:    r.Seq,
	}, body)
}

// ReadResponseHeader reads a reply and decodes its header.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	h, err := c.readHeader()
	r.ServiceMethod = h.Method
	r.Seq = h.Seq
	r.Error = h.Error
	return err
}

// ReadResponseBody decodes the body of the reply read last.
func (c clientCodec) ReadResponseBody(body any) error {
	return c.decodeBody(body)
}

// Close closes the connection.
func (c clientCodec) Close() error {
	return c.conn.Close()
}
