package peer

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"net/rpc"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jasmineward/jasmineward/pkg/raft"
)

// Echo is an RPC service for tests.
type Echo struct{}

// Say returns its arguments, after a delay if Cell is "wait".
func (Echo) Say(args *StepArgs, reply *StepArgs) error {
	if args.Cell == "wait" {
		time.Sleep(time.Second)
	}
	*reply = *args
	return nil
}

// oddMessages are messages that can be encoded, but that the decoder takes only in part
// or not at all, by name.
var oddMessages = map[string]func() StepArgs{
	"text that is not UTF-8": func() StepArgs { return StepArgs{Cell: "malformed header \xff\xfe"} },
	"too many entries":       func() StepArgs { return StepArgs{Messages: make([]raft.Message, 131_073)} },
	"too large": func() StepArgs {
		return StepArgs{Messages: []raft.Message{{State: make([]byte, maxFrameSize)}}}
	},
}

// Make is an RPC method that returns the odd message named by Cell.
func (Echo) Make(args *StepArgs, reply *StepArgs) error {
	*reply = oddMessages[args.Cell]()
	return nil
}

func startServer(t *testing.T, certs *Certs) *Server {
	traffic := &Traffic{}
	server, err := Listen("127.0.0.1:0", nil, traffic)
	if certs != nil {
		server, err = Listen("127.0.0.1:0", certs.ServerConfig(), traffic)
	}
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, server.RegisterConcurrent("Echo", Echo{}), qt.IsNil)
	server.Serve()
	t.Cleanup(server.Close)
	return server
}

// A call that times out fails with ErrNoReply, and a call to an address where
// nothing listens fails with ErrUnreachable.
func TestCallErrors(t *testing.T) {
	c := qt.New(t)
	server := startServer(t, nil)
	client := NewDialer(&Traffic{}).NewClient(server.Address())
	defer client.Close()
	var reply StepArgs
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c.Assert(client.Call(ctx, "Echo.Say", &StepArgs{Cell: "a"}, &reply), qt.IsNil)
	c.Assert(reply.Cell, qt.Equals, "a")
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	err := client.Call(short, "Echo.Say", &StepArgs{Cell: "wait"}, &StepArgs{})
	c.Assert(errors.Is(err, ErrNoReply), qt.IsTrue)
	unreachable := NewDialer(&Traffic{}).NewClient("127.0.0.1:1")
	c.Assert(errors.Is(unreachable.Call(ctx, "Echo.Say", &StepArgs{}, &StepArgs{}), ErrUnreachable), qt.IsTrue)
}

// One reply that can't be decoded, or message that is too large, ended the connection that
// it came on, and with it the calls of all others on it: a relay's reply with a long list of
// one target failed the leader's orders to all targets of that relay.
func TestOddMessageDoesNotEndOtherCalls(t *testing.T) {
	for name, odd := range oddMessages {
		for _, method := range []string{"Echo.Make", "Echo.Say"} {
			t.Run(name+" "+method, func(t *testing.T) {
				c := qt.New(t)
				client := NewDialer(&Traffic{}).NewClient(startServer(t, nil).Address())
				defer client.Close()
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				c.Assert(client.Call(ctx, "Echo.Say", &StepArgs{Cell: "a"}, &StepArgs{}), qt.IsNil)
				other := make(chan error, 1)
				go func() { other <- client.Call(ctx, "Echo.Say", &StepArgs{Cell: "wait"}, &StepArgs{}) }()
				time.Sleep(100 * time.Millisecond)
				args := odd()
				if method == "Echo.Make" {
					args = StepArgs{Cell: name}
				}
				started := time.Now()
				err := client.Call(ctx, method, &args, &StepArgs{})
				c.Check(time.Since(started) < 2*time.Second, qt.IsTrue)
				if name != "text that is not UTF-8" {
					c.Check(err, qt.ErrorMatches, "(?s).*message cannot be sent.*")
				}
				c.Check(<-other, qt.IsNil)
			})
		}
	}
}

// testCA is a certificate authority that writes its files to a temporary
// directory.
type testCA struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	a := &testCA{
		t:   t,
		dir: t.TempDir(),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	a.key = key
	a.cert = &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "cell"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	a.writeCert("ca.pem", a.cert, &key.PublicKey)
	return a
}

func (a *testCA) writeCert(name string, template *x509.Certificate, public *ecdsa.PublicKey) {
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, public, a.key)
	qt.Assert(a.t, err, qt.IsNil)
	a.writePEM(name, "CERTIFICATE", der)
}

func (a *testCA) writePEM(name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	qt.Assert(a.t, os.WriteFile(filepath.Join(a.dir, name), data, 0o600), qt.IsNil)
}

func (a *testCA) issueCerts(serial int64) *Certs {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(a.t, err, qt.IsNil)
	der, err := x509.MarshalECPrivateKey(key)
	qt.Assert(a.t, err, qt.IsNil)
	a.writePEM("key.pem", "EC PRIVATE KEY", der)
	a.writeCert("cert.pem", &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, &key.PublicKey)
	certs, err := LoadCerts(filepath.Join(a.dir, "cert.pem"), filepath.Join(a.dir, "key.pem"),
		filepath.Join(a.dir, "ca.pem"))
	qt.Assert(a.t, err, qt.IsNil)
	return certs
}

// A server accepts only clients with a certificate from its own CA, and loads a
// renewed certificate without a restart.
func TestMutualTLS(t *testing.T) {
	c := qt.New(t)
	ca := newTestCA(t)
	certs := ca.issueCerts(2)
	server := startServer(t, certs)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	call := func(opts ...DialerOption) error {
		client := NewDialer(&Traffic{}, opts...).NewClient(server.Address())
		defer client.Close()
		return client.Call(ctx, "Echo.Say", &StepArgs{Cell: "a"}, &StepArgs{})
	}
	c.Check(call(WithTLS(certs.ClientConfig())), qt.IsNil)
	c.Check(call(), qt.IsNotNil)
	c.Check(call(WithTLS(newTestCA(t).issueCerts(3).ClientConfig())), qt.IsNotNil)
	ca.issueCerts(4)
	later := time.Now().Add(2 * time.Second)
	for _, name := range []string{"cert.pem", "key.pem"} {
		c.Assert(os.Chtimes(filepath.Join(ca.dir, name), later, later), qt.IsNil)
	}
	certs.checkedAt = time.Time{}
	pair, _ := certs.current()
	c.Check(pair.Leaf.SerialNumber.Int64(), qt.Equals, int64(4))
	c.Check(call(WithTLS(certs.ClientConfig())), qt.IsNil)
}

// A snapshot chunk that does not follow the previous one is rejected, and so is
// a message for another cell.
func TestSnapshotChunkOrder(t *testing.T) {
	c := qt.New(t)
	s := NewRaftServer(func() string { return "cell" })
	receiver := &recordingReceiver{}
	s.SetReceiver(receiver)
	sendChunk := func(offset int, data string, last *raft.Message) error {
		return s.Piece(&ChunkArgs{
			Cell:   "cell",
			From:   1,
			Index:  9,
			Offset: offset,
			Data:   []byte(data),
			Last:   last,
		}, &Empty{})
	}
	c.Assert(sendChunk(0, "ab", nil), qt.IsNil)
	c.Assert(sendChunk(3, "cd", nil), qt.Equals, ErrChunkOrder)
	c.Assert(sendChunk(0, "ab", nil), qt.IsNil)
	c.Assert(sendChunk(2, "cd", &raft.Message{}), qt.IsNil)
	c.Assert(string(receiver.messages[0].State), qt.Equals, "abcd")
	c.Assert(s.Step(&StepArgs{Cell: "other"}, &Empty{}), qt.Equals, ErrWrongCell)
}

// recordingReceiver is a Receiver that keeps the messages it receives.
type recordingReceiver struct {
	messages []raft.Message
}

func (r *recordingReceiver) Receive(messages []raft.Message) {
	r.messages = append(r.messages, messages...)
}

// readConn is a connection that delivers the bytes of a reader and discards
// what is written.
type readConn struct {
	io.Reader
}

func (readConn) Write(p []byte) (int, error) { return len(p), nil }

func (readConn) Close() error { return nil }

// FuzzFrames checks that arbitrary bytes received on a connection do not make
// the codec panic.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0xa0, 0, 0, 0, 1, 0xa0})
	f.Fuzz(func(_ *testing.T, data []byte) {
		conn := newFramedConn(readConn{bytes.NewReader(data)})
		if _, err := conn.readHeader(); err == nil {
			_ = conn.decodeBody(&StepArgs{})
			_ = conn.decodeBody(&ChunkArgs{})
		}
	})
}

// A peer behind a network partition that drops packets silently reads nothing.
// Once the kernel's send buffer is full, a write must time out soon. Otherwise
// the connection stays blocked until the kernel times out, long after the
// partition has healed.
func TestWriteToSilentPeerTimesOut(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	client := NewDialer(&Traffic{}).NewOrderedClient(listener.Addr().String())
	defer client.Close()
	args := &StepArgs{
		Messages: []raft.Message{{
			Entries: []raft.Entry{{Data: make([]byte, 1<<20)}},
		}},
	}
	done := make(chan *rpc.Call, 64)
	sent := make(chan bool)
	go func() {
		defer close(sent)
		for range 16 {
			if client.Go(context.Background(), methodStep, args, &Empty{}, done) != nil {
				return
			}
			select {
			case <-done:
				return
			default:
			}
		}
	}()
	select {
	case <-sent:
	case <-time.After(3 * writeTimeout):
		c.Fatal("the write is still blocked")
	}
}

// A search for the leader cancels its calls to the other peers once one has replied. A
// dial that ends so must not keep the next call from its address: the announcement of a
// new leader was lost in the pause.
func TestCancelledDialDoesNotDelayNextCall(t *testing.T) {
	c := qt.New(t)
	server := startServer(t, nil)
	client := NewDialer(&Traffic{}).NewClient(server.Address())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(client.Call(ctx, "Echo.Say", &StepArgs{}, &StepArgs{}), qt.ErrorIs, ErrUnreachable)
	c.Assert(client.Call(context.Background(), "Echo.Say", &StepArgs{}, &StepArgs{}), qt.IsNil)
}
