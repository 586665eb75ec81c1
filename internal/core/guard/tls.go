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

// MinKeyBytes is the shortest key of peer connections that is taken, in bytes.
const MinKeyBytes = 32

const (
	keyPurpose = "magnoliawalk peer connection"
)

// PeerTLS authenticates and encrypts connections between daemons. Both ends prove by TLS 1.3 that they hold a
// private key that is derived from a shared secret, so that no certificates have to be handed out.
type PeerTLS struct {
	server *tls.Config
	client *tls.Config
}

// NewPeerTLS returns the security of peer connections. The first key is the daemon's own; the others are
// accepted, too, while keys are being changed.
func NewPeerTLS(keys []Secret) (*PeerTLS, error) {
	if len(keys) == 0 {
		return nil, errs.New(errs.Invalid, "peer connections need a key")
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
	// The peer is known by its key alone, which VerifyConnection compares; it has no name to verify.
	client.InsecureSkipVerify = true
	return &PeerTLS{server: server, client: client}, nil
}

// Accept secures a connection that another daemon opened.
func (p *PeerTLS) Accept(ctx context.Context, conn net.Conn) (net.Conn, error) {
	return handshake(ctx, tls.Server(conn, p.server))
}

// Dial secures a connection that this daemon opened.
func (p *PeerTLS) Dial(ctx context.Context, conn net.Conn) (net.Conn, error) {
	return handshake(ctx, tls.Client(conn, p.client))
}

// ServerTLS returns the settings of an HTTPS server from a certificate and key in PEM form.
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

func deriveKey(key Secret) (ed25519.PrivateKey, error) {
	if len(key.Reveal()) < MinKeyBytes {
		return nil, errs.New(errs.Invalid, "a key of peer connections has under %d bytes", MinKeyBytes)
	}
	seed, err := hkdf.Key(sha256.New, []byte(key.Reveal()), nil, keyPurpose, ed25519.SeedSize)
	if err != nil {
		return nil, errs.New(errs.Internal, "deriving the key of peer connections: %v", err)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// selfSigned wraps the key in a certificate without meaning of its own; it depends on no clock.
func selfSigned(private ed25519.PrivateKey) (tls.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC),
	}
	der, err := x509.CreateCertificate(nil, template, template, private.Public(), private)
	if err != nil {
		return tls.Certificate{}, errs.New(errs.Internal, "making the certificate of peer connections: %v", err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

// verifyPeer compares the key, whose possession TLS has proven, with the accepted ones.
func verifyPeer(s tls.ConnectionState, accepted []ed25519.PublicKey) error {
	if len(s.PeerCertificates) == 0 {
		return errs.New(errs.Denied, "the peer showed no key")
	}
	presented, ok := s.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return errs.New(errs.Denied, "the peer showed a key of another kind")
	}
	for _, key := range accepted {
		if subtle.ConstantTimeCompare(key, presented) == 1 {
			return nil
		}
	}
	return errs.New(errs.Denied, "the peer's key is not accepted")
}
