package messenger

import (
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/marigoldrelay/marigoldrelay/internal/signer"
)

// ErrUnauthenticated is wrapped by the error of a handshake with a peer that does not have the shared key.
var ErrUnauthenticated = merry.Sentinel("peer not authenticated")

const (
	// handshakeTimeout limits a whole handshake.
	handshakeTimeout = 2 * time.Second
	nonceBytes       = 16
)

// Purposes of the two signatures of a handshake. They differ, so that the signature of one end can't be used for the
// other.
const (
	clientSignaturePurpose = "messenger-client"
	serverSignaturePurpose = "messenger-server"
)

// handshakeClient authenticates both ends of conn, on the side that dialled. The client sends one byte for the purpose
// under which the connection's bytes are counted, and a nonce. The server replies with its own nonce. Then the client
// and after it the server send a signature of both nonces.
func handshakeClient(conn net.Conn, key *signer.Signer, purpose Purpose) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	ownNonce := newNonce()
	if _, err := conn.Write(append([]byte{byte(purpose)}, ownNonce...)); err != nil {
		return err
	}
	peerNonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, peerNonce); err != nil {
		return err
	}
	if _, err := conn.Write(key.Sum(clientSignaturePurpose, ownNonce, peerNonce)); err != nil {
		return err
	}
	signature := make([]byte, signer.SumBytes)
	if _, err := io.ReadFull(conn, signature); err != nil {
		return err
	}
	if !key.Verify(signature, serverSignaturePurpose, ownNonce, peerNonce) {
		return fmt.Errorf("%w: %s", ErrUnauthenticated, conn.RemoteAddr())
	}
	return conn.SetDeadline(time.Time{})
}

// handshakeServer is the other side of handshakeClient. It returns the purpose that the client has sent, which is not
// covered by the signatures.
func handshakeServer(conn net.Conn, key *signer.Signer) (Purpose, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	hello := make([]byte, 1+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return 0, err
	}
	peerNonce := hello[1:]
	ownNonce := newNonce()
	if _, err := conn.Write(ownNonce); err != nil {
		return 0, err
	}
	signature := make([]byte, signer.SumBytes)
	if _, err := io.ReadFull(conn, signature); err != nil {
		return 0, err
	}
	if !key.Verify(signature, clientSignaturePurpose, peerNonce, ownNonce) {
		return 0, fmt.Errorf("%w: %s", ErrUnauthenticated, conn.RemoteAddr())
	}
	if _, err := conn.Write(key.Sum(serverSignaturePurpose, peerNonce, ownNonce)); err != nil {
		return 0, err
	}
	return Purpose(hello[0]), conn.SetDeadline(time.Time{})
}

// newNonce returns nonceBytes random bytes.
func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	// The error is always nil, since the operating system's source does not fail (see crypto/rand).
	_, _ = rand.Read(nonce)
	return nonce
}
