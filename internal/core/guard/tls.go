package guard

import (
	"context"
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"time"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// MinKeyBytes is the minimum length of a key for peer connections, in bytes.
const MinKeyBytes = 32

const (
	// keyPurpose is the info parameter of the key derivation; another value gives other keys.
	keyPurpose = "magnoliawalk peer connection"
)

// PeerTLS authenticates and encrypts connections between daemons. Both ends prove by TLS 1.3 that they have a
// private key that is derived from a shared secret, so that no certificates have to be distributed.
type PeerTLS struct {
	server *tls.Config
	client *tls.Config
}

// NewPeerTLS returns a PeerTLS for shared keys. The daemon presents the first key and accepts all of them, so that
// keys can be rotated. The error is of kind Invalid if there is no key or one is shorter than MinKeyBytes.
func NewPeerTLS(keys []Secret) (*PeerTLS, error) {
	if len(keys) == 0 {
		return nil, errs.New(errs.Invalid, "no key for peer connections, at least 1 is required")
	}
	var own tls.Certificate
	var accepted []ed25519.PublicKey
	for i, k := range keys {
		private, err := deriveKey(k)
		if err != nil {
			return nil, err
		}
		accepted = append(accepted, private.Public().(ed25519.PublicKey))
		if i > 0 {
			continue
		}
		if own, err = selfSigned(private); err != nil {
			return nil, err
		}
	}
	base := tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{own},
		SessionTicketsDisabled: true,
		VerifyConnection:       func(s tls.ConnectionState) error { return verifyPeer(s, accepted) },
	}
	server, client := base.Clone(), base.Clone()
	server.ClientAuth = tls.RequireAnyClientCert
	// A peer is identified only by its key, which VerifyConnection compares; its certificate has no name to verify.
	client.InsecureSkipVerify = true
	return &PeerTLS{server: server, client: client}, nil
}

// Accept secures a connection that another daemon opened. The error is of kind Denied.
func (p *PeerTLS) Accept(ctx context.Context, conn net.Conn) (net.Conn, error) {
	return handshake(ctx, tls.Server(conn, p.server))
}

// Dial secures a connection that this daemon opened. The error is of kind Denied.
func (p *PeerTLS) Dial(ctx context.Context, conn net.Conn) (net.Conn, error) {
	return handshake(ctx, tls.Client(conn, p.client))
}

// ServerTLS returns the TLS settings of the HTTPS server, given its certificate and private key in PEM format.
func ServerTLS(certPEM string, keyPEM Secret) (*tls.Config, error) {
	pair, err := tls.X509KeyPair([]byte(certPEM), []byte(keyPEM.Reveal()))
	if err != nil {
		return nil, errs.New(errs.Invalid, "reading the certificate and key of the HTTP server: %v", err)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}, nil
}

func handshake(ctx context.Context, conn *tls.Conn) (net.Conn, error) {
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, errs.New(errs.Denied, "securing the connection with %s: %v", conn.RemoteAddr(), err)
	}
	return conn, nil
}

// deriveKey derives the private key from a shared key with HKDF.
func deriveKey(key Secret) (ed25519.PrivateKey, error) {
	if len(key.Reveal()) < MinKeyBytes {
		return nil, errs.New(errs.Invalid, "a key for peer connections has fewer than %d bytes", MinKeyBytes)
	}
	seed, err := hkdf.Key(sha256.New, []byte(key.Reveal()), nil, keyPurpose, ed25519.SeedSize)
	if err != nil {
		return nil, errs.New(errs.Internal, "deriving the private key for peer connections: %v", err)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// selfSigned returns a self-signed certificate, which only serves to present the key. It does not expire, so that peer
// connections don't depend on the clocks of the VMs.
func selfSigned(private ed25519.PrivateKey) (tls.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC),
	}
	der, err := x509.CreateCertificate(nil, template, template, private.Public(), private)
	if err != nil {
		return tls.Certificate{}, errs.New(errs.Internal, "creating the certificate for peer connections: %v", err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// verifyPeer returns an error of kind Denied unless the peer's key is an accepted one. TLS has already proven that the
// peer has the private key.
func verifyPeer(s tls.ConnectionState, accepted []ed25519.PublicKey) error {
	if len(s.PeerCertificates) == 0 {
		return errs.New(errs.Denied, "the peer presented no certificate")
	}
	presented, ok := s.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return errs.New(errs.Denied, "the peer presented a certificate whose key is not an Ed25519 key")
	}
	for _, key := range accepted {
		if subtle.ConstantTimeCompare(key, presented) == 1 {
			return nil
		}
	}
	return errs.New(errs.Denied, "the peer's key is not accepted")
}
