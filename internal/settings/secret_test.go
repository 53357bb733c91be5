package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/go-faster/errors"
)

const validSecret = "0123456789abcdef"

func TestSecretFromFileIsTrimmed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(path, []byte(" "+validSecret+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := SecretSource{File: path}.Read()
	if err != nil || got != validSecret {
		t.Fatalf("got %q, %v", got, err)
	}
}

func TestSecretFromEnvironment(t *testing.T) {
	t.Setenv("APPLEPIER_TEST_KEY", validSecret)
	got, err := SecretSource{Env: "APPLEPIER_TEST_KEY"}.Read()
	if err != nil || got != validSecret {
		t.Fatalf("got %q, %v", got, err)
	}
}

func TestSecretErrors(t *testing.T) {
	t.Setenv("APPLEPIER_TEST_SHORT", "   0123456789abcde   ")
	tests := []struct {
		name   string
		secret SecretSource
		want   error
	}{
		{"no source", SecretSource{}, ErrSecretSource},
		{"two sources", SecretSource{File: "a", Env: "b"}, ErrSecretSource},
		{"no variable", SecretSource{Env: "APPLEPIER_TEST_NONE"}, ErrSecretMissing},
		{"no file", SecretSource{File: filepath.Join(t.TempDir(), "none")}, ErrSecretMissing},
		{"short", SecretSource{Env: "APPLEPIER_TEST_SHORT"}, ErrSecretShort},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := test.secret.Read()
			if got != "" || !errors.Is(err, test.want) {
				t.Fatalf("got %q, %v, want %v", got, err, test.want)
			}
		})
	}
}
