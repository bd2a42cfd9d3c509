package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pipeEnd is a connection of which only a part of a frame arrives.
type pipeEnd struct {
	io.Reader
	io.WriteCloser
}

// A frame of the largest size was allocated when four bytes of it had arrived, for each of
// as many connections as somebody opened.
func TestAnnouncedFrameTakesNoMemory(t *testing.T) {
	c := qt.New(t)
	announced := binary.BigEndian.AppendUint32(nil, maxFrameSize)
	conn := newFramedConn(pipeEnd{Reader: bytes.NewReader(append(announced, make([]byte, 1000)...))})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := conn.readFrame()
	runtime.ReadMemStats(&after)
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	c.Check(after.TotalAlloc-before.TotalAlloc < 1<<20, qt.IsTrue, qt.Commentf("%d bytes", after.TotalAlloc-before.TotalAlloc))
}

// Frames of all sizes must arrive as they were sent.
func TestFramesOfAllSizes(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{0, 1, bufferSize, firstFrameBuffer - 1, firstFrameBuffer, firstFrameBuffer + 1, 5*firstFrameBuffer + 7} {
		data := make([]byte, size)
		for i := range data {
			data[i] = byte(i % 251)
		}
		frame := append(binary.BigEndian.AppendUint32(nil, uint32(size)), data...)
		got, err := newFramedConn(pipeEnd{Reader: bytes.NewReader(frame)}).readFrame()
		c.Assert(err, qt.IsNil)
		c.Check(bytes.Equal(got, data), qt.IsTrue, qt.Commentf("%d bytes", size))
	}
}

// Somebody who opens connections and sends nothing over them took all descriptors of the
// process. The connection of a peer in use must stay.
func TestConnectionsAreBounded(t *testing.T) {
	c := qt.New(t)
	const limit = 4
	server, err := Listen("127.0.0.1:0", nil, &Traffic{}, WithMaxConns(limit))
	c.Assert(err, qt.IsNil)
	c.Assert(server.RegisterConcurrent("Echo", Echo{}), qt.IsNil)
	server.Serve()
	defer server.Close()
	client := NewDialer(&Traffic{}).NewClient(server.Address())
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 10 {
		conn, err := net.Dial("tcp", server.Address())
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		c.Assert(client.Call(ctx, "Echo.Say", &StepArgs{Cell: "a"}, &StepArgs{}), qt.IsNil)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	c.Check(len(server.conns) <= limit, qt.IsTrue, qt.Commentf("%d connections", len(server.conns)))
}
