package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// MinSecretLength is the least number of characters of a secret; a shorter one
// can be guessed.
const MinSecretLength = 16

// Errors of Secret.Read. None of them repeats the secret.
var (
	// ErrSecretSource: not exactly one of file and env is set.
	ErrSecretSource = errors.New("set exactly one of file and env")
	// ErrSecretMissing: the file or the environment variable isn't there.
	ErrSecretMissing = errors.New("secret is missing")
	// ErrSecretShort: the secret has fewer than MinSecretLength characters.
	ErrSecretShort = errors.New("secret is shorter than 16 characters")
)

// Read returns the secret without the white space around it.
func (s Secret) Read() (string, error) {
	raw, err := s.source()
	if err != nil {
		return "", err
	}
	secret := strings.TrimSpace(raw)
	if len(secret) < MinSecretLength {
		return "", errors.Wrap(ErrSecretShort, s.name())
	}
	return secret, nil
}

func (s Secret) source() (string, error) {
	if (s.File == "") == (s.Env == "") {
		return "", ErrSecretSource
	}
	if s.Env != "" {
		value, ok := os.LookupEnv(s.Env)
		if !ok {
			return "", errors.Wrap(ErrSecretMissing, s.name())
		}
		return value, nil
	}
	content, err := os.ReadFile(s.File)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrSecretMissing, err)
	}
	return string(content), nil
}

func (s Secret) name() string {
	if s.Env != "" {
		return "environment variable " + s.Env
	}
	return "file " + s.File
}
