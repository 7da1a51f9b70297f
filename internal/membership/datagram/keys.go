package datagram

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
)

// ErrMalformedKey means that a text is not a key in the format of GenerateKey.
var ErrMalformedKey = errors.New("malformed key")

// GenerateKey returns a new key pair in base64, the format of key files and rosters.
func GenerateKey() (seed, public string, err error) {
	publicKey, privateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", fmt.Errorf("generate key: %w", err)
	}
	return base64.StdEncoding.EncodeToString(privateKey.Seed()), base64.StdEncoding.EncodeToString(publicKey), nil
}

// ParsePrivateKey parses a private key in the format of GenerateKey. It returns ErrMalformedKey if the key is
// invalid.
func ParsePrivateKey(text string) (ed25519.PrivateKey, error) {
	seed, err := parseBase64(text, ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// ParsePublicKey parses a public key in the format of GenerateKey. It returns ErrMalformedKey if the key is invalid.
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
