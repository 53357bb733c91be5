package fleet

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"

	"github.com/applepier/applepier/internal/settings"
)

// ownerOnly is the mode of files with settings and keys.
const ownerOnly = 0o600

// keyFiles are the secrets of a fleet's processes.
type keyFiles struct {
	operator string
	system   string
}

func writeKeys(dir, operator, system string) (keyFiles, error) {
	files := keyFiles{operator: filepath.Join(dir, "operator.key"), system: filepath.Join(dir, "system.key")}
	if err := os.WriteFile(files.operator, []byte(operator), ownerOnly); err != nil {
		return files, errors.Wrap(err, "operator's key")
	}
	if err := os.WriteFile(files.system, []byte(system), ownerOnly); err != nil {
		return files, errors.Wrap(err, "system's key")
	}
	return files, nil
}

func (k keyFiles) settings() settings.Keys {
	return settings.Keys{
		Operator: settings.Secret{File: k.operator},
		System:   settings.Secret{File: k.system},
	}
}

// writeSettings writes a program's settings file and returns its path.
func (f *Fleet) writeSettings(name string, value any) (string, error) {
	content, err := yaml.Marshal(value)
	if err != nil {
		return "", errors.Wrapf(err, "settings of %s", name)
	}
	path := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(path, content, ownerOnly); err != nil {
		return "", errors.Wrapf(err, "settings of %s", name)
	}
	return path, nil
}
