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

// Echo is a service for tests.
type Echo struct{}

// Say returns what it is told, after a wait if that is asked.
func (Echo) Say(args *StepArgs, reply *StepArgs) error {
	if args.Cell == "wait" {
		time.Sleep(time.Second)
	}
	*reply = *args
	return nil
}

func listen(t *testing.T, certs *Certs) *Server {
	traffic := &Traffic{}
	server, err := Listen("127.0.0.1:0", nil, traffic)
	if certs != nil {
		server, err = Listen("127.0.0.1:0", certs.Server(), traffic)
	}
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, server.Concurrent("Echo", Echo{}), qt.IsNil)
	server.Serve()
	t.Cleanup(server.Close)
	return server
}

func TestDeadline(t *testing.T) {
	c := qt.New(t)
	server := listen(t, nil)
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
	c.Assert(errors.Is(err, ErrLost), qt.IsTrue)
	gone := NewDialer(&Traffic{}).NewClient("127.0.0.1:1")
	c.Assert(errors.Is(gone.Call(ctx, "Echo.Say", &StepArgs{}, &StepArgs{}), ErrUnreachable), qt.IsTrue)
}

// authority makes certificates for a test.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{
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
	a.write("ca.pem", a.cert, &key.PublicKey)
	return a
}

func (a *authority) write(name string, template *x509.Certificate, public *ecdsa.PublicKey) {
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, public, a.key)
	qt.Assert(a.t, err, qt.IsNil)
	a.file(name, "CERTIFICATE", der)
}

func (a *authority) file(name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	})
	qt.Assert(a.t, os.WriteFile(filepath.Join(a.dir, name), data, 0o600), qt.IsNil)
}

func (a *authority) issue(serial int64) *Certs {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(a.t, err, qt.IsNil)
	der, err := x509.MarshalECPrivateKey(key)
	qt.Assert(a.t, err, qt.IsNil)
	a.file("key.pem", "EC PRIVATE KEY", der)
	a.write("cert.pem", &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}, &key.PublicKey)
	certs, err := LoadCerts(filepath.Join(a.dir, "cert.pem"), filepath.Join(a.dir, "key.pem"),
		filepath.Join(a.dir, "ca.pem"))
	qt.Assert(a.t, err, qt.IsNil)
	return certs
}

// TestMutualTLS lets in who shows a certificate of the cell's authority, and
// nobody else, and takes a new certificate without a restart.
func TestMutualTLS(t *testing.T) {
	c := qt.New(t)
	ours := newAuthority(t)
	certs := ours.issue(2)
	server := listen(t, certs)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	call := func(opts ...DialerOption) error {
		client := NewDialer(&Traffic{}, opts...).NewClient(server.Address())
		defer client.Close()
		return client.Call(ctx, "Echo.Say", &StepArgs{Cell: "a"}, &StepArgs{})
	}
	c.Check(call(WithTLS(certs.Client())), qt.IsNil)
	c.Check(call(), qt.IsNotNil)
	c.Check(call(WithTLS(newAuthority(t).issue(3).Client())), qt.IsNotNil)
	ours.issue(4)
	later := time.Now().Add(2 * time.Second)
	for _, name := range []string{"cert.pem", "key.pem"} {
		c.Assert(os.Chtimes(filepath.Join(ours.dir, name), later, later), qt.IsNil)
	}
	certs.checked = time.Time{}
	pair, _ := certs.current()
	c.Check(pair.Leaf.SerialNumber.Int64(), qt.Equals, int64(4))
	c.Check(call(WithTLS(certs.Client())), qt.IsNil)
}

// TestPieces sees that a snapshot whose pieces are out of order is refused.
func TestPieces(t *testing.T) {
	c := qt.New(t)
	s := NewLogServer(func() string { return "cell" })
	got := &inbox{}
	s.SetReceiver(got)
	piece := func(offset int, data string, last *raft.Message) error {
		return s.Piece(&PieceArgs{
			Cell:   "cell",
			From:   1,
			Index:  9,
			Offset: offset,
			Data:   []byte(data),
			Last:   last,
		}, &Empty{})
	}
	c.Assert(piece(0, "ab", nil), qt.IsNil)
	c.Assert(piece(3, "cd", nil), qt.Equals, ErrPieceOrder)
	c.Assert(piece(0, "ab", nil), qt.IsNil)
	c.Assert(piece(2, "cd", &raft.Message{}), qt.IsNil)
	c.Assert(string(got.messages[0].State), qt.Equals, "abcd")
	c.Assert(s.Step(&StepArgs{Cell: "other"}, &Empty{}), qt.Equals, ErrOtherCell)
}

type inbox struct {
	messages []raft.Message
}

func (i *inbox) Receive(messages []raft.Message) {
	i.messages = append(i.messages, messages...)
}

type bytesConn struct {
	io.Reader
}

func (bytesConn) Write(p []byte) (int, error) { return len(p), nil }

func (bytesConn) Close() error { return nil }

// FuzzFrames sees that no bytes of a connection break the codec.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0xa0, 0, 0, 0, 1, 0xa0})
	f.Fuzz(func(_ *testing.T, data []byte) {
		frames := newFrames(bytesConn{bytes.NewReader(data)})
		if _, err := frames.readHead(); err == nil {
			_ = frames.decodeBody(&StepArgs{})
			_ = frames.decodeBody(&PieceArgs{})
		}
	})
}

// A peer that is cut off in silence reads nothing. Once what the kernel buffers
// is full, a write must give up soon, or the connection stands in the way until
// the kernel gives it up, long after the cut has healed.
func TestSilentPeerBlocksNoWrite(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	client := NewDialer(&Traffic{}).NewStream(listener.Addr().String())
	defer client.Close()
	args := &StepArgs{
		Messages: []raft.Message{{
			Entries: []raft.Entry{{Data: make([]byte, 1<<20)}},
		}},
	}
	done := make(chan *rpc.Call, 64)
	given := make(chan bool)
	go func() {
		defer close(given)
		for range 16 {
			if client.Start(context.Background(), methodStep, args, &Empty{}, done) != nil {
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
	case <-given:
	case <-time.After(3 * writeTimeout):
		c.Fatal("the write still waits")
	}
}
