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

// protocolName is agreed on in the handshake, so that another version is refused before a frame is
// read. It is part of the wire format.
const protocolName = "cairnfront-ledger/1"

// certificateEnd is after the end of any router's certificate's use, in Unix seconds.
const certificateEnd = 1 << 33

// Errors of a peer's identity.
var (
	errOtherProtocol = errors.New("peer speaks another protocol")
	errNoPublicKey   = errors.New("peer has no public key")
	errUnknownPeer   = errors.New("public key is not in the list of peers")
)

// certificate is signed by this router itself. Peers compare its public key with their list.
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
		InsecureSkipVerify:     true, // no authority signs the certificates; identify compares the public key
		SessionTicketsDisabled: true,
	}, nil
}

// identify finds the peer at the other end by its public key.
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
