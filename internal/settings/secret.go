package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// MinSecretLength is the minimum length of a secret in bytes; a shorter one can
// be guessed.
const MinSecretLength = 16

// Errors of SecretSource.Read. Their messages never contain the secret.
var (
	// ErrSecretSource means that not exactly one of file and env is set.
	ErrSecretSource = errors.New("set exactly one of file and env")
	// ErrSecretMissing means that the file can't be read or the environment
	// variable isn't set.
	ErrSecretMissing = errors.New("secret is missing")
	// ErrSecretShort means that the secret is shorter than MinSecretLength.
	ErrSecretShort = errors.New("secret is shorter than 16 characters")
)

// Read returns the secret without leading and trailing white space. The error
// wraps ErrSecretSource, ErrSecretMissing or ErrSecretShort.
func (s SecretSource) Read() (string, error) {
	raw, err := s.readRaw()
	if err != nil {
		return "", err
	}
	secret := strings.TrimSpace(raw)
	if len(secret) < MinSecretLength {
		return "", errors.Wrap(ErrSecretShort, s.sourceName())
	}
	return secret, nil
}

func (s SecretSource) readRaw() (string, error) {
	if (s.File == "") == (s.Env == "") {
		return "", ErrSecretSource
	}
	if s.Env != "" {
		value, ok := os.LookupEnv(s.Env)
		if !ok {
			return "", errors.Wrap(ErrSecretMissing, s.sourceName())
		}
		return value, nil
	}
	content, err := os.ReadFile(s.File)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrSecretMissing, err)
	}
	return string(content), nil
}

func (s SecretSource) sourceName() string {
	if s.Env != "" {
		return "environment variable " + s.Env
	}
	return "file " + s.File
}
