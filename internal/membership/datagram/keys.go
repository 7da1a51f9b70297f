package datagram

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
)

// ErrMalformedKey reports a text that is no key as GenerateKey gives it.
var ErrMalformedKey = errors.New("malformed key")

// GenerateKey makes a key pair in base64, as key files and rosters hold them.
func GenerateKey() (seed, public string, err error) {
	publicKey, privateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", fmt.Errorf("generate key: %w", err)
	}
	return base64.StdEncoding.EncodeToString(privateKey.Seed()), base64.StdEncoding.EncodeToString(publicKey), nil
}

// ParsePrivateKey reads a private key as GenerateKey gives it. Its error is ErrMalformedKey.
func ParsePrivateKey(text string) (ed25519.PrivateKey, error) {
	seed, err := parseBase64(text, ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// ParsePublicKey reads a public key as GenerateKey gives it. Its error is ErrMalformedKey.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	return parseBase64(text, ed25519.PublicKeySize)
}

func parseBase64(text string, size int) ([]byte, error) {
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(raw) != size {
		return nil, fmt.Errorf("%w: not %d bytes in base64", ErrMalformedKey, size)
	}
	return raw, nil
}
