package transport

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math/big"
	"time"
)

// protocolName is negotiated in the TLS handshake (ALPN), so that another version is rejected
// before any frame is read. It is part of the wire format.
const protocolName = "cairnfront-ledger/1"

// certificateEnd is the expiry of the certificates in Unix seconds, later than any certificate is
// used.
const certificateEnd = 1 << 33

// Errors in identifying a peer.
var (
	errOtherProtocol = errors.New("peer speaks another protocol")
	errNoPublicKey   = errors.New("peer has no public key") // or none of type Ed25519
	errUnknownPeer   = errors.New("public key is not in the list of peers")
)

// certificate returns a certificate that this router signs itself. Peers compare its public key
// with their list of peers.
func (t *Transport) certificate() (tls.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		DNSNames:     []string{t.Name},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Unix(certificateEnd, 0),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, t.PrivateKey.Public(), t.PrivateKey)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("create certificate: %w", err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: t.PrivateKey}, nil
}

func (t *Transport) tlsConfig() (*tls.Config, error) {
	certificate, err := t.certificate()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates:           []tls.Certificate{certificate},
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocolName},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // certificates are self-signed; identify compares the public key
		SessionTicketsDisabled: true,
	}, nil
}

// identify returns the name of the peer that has the connection's public key.
func (t *Transport) identify(conn *tls.Conn) (string, error) {
	state := conn.ConnectionState()
	if state.NegotiatedProtocol != protocolName {
		return "", fmt.Errorf("%w: %q, this program %q", errOtherProtocol, state.NegotiatedProtocol, protocolName)
	}
	if len(state.PeerCertificates) == 0 {
		return "", errNoPublicKey
	}
	key, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok {
		return "", errNoPublicKey
	}
	for _, peer := range t.Peers {
		if key.Equal(peer.PublicKey) && peer.Name != t.Name {
			return peer.Name, nil
		}
	}
	return "", errUnknownPeer
}
