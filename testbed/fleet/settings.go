package fleet

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"

	"github.com/applepier/applepier/internal/settings"
)

// secretFileMode is the mode of settings and key files: readable by the owner only.
const secretFileMode = 0o600

// keyFiles holds the paths of the key files that the processes read.
type keyFiles struct {
	operator string
	system   string
}

func writeKeys(dir, operator, system string) (keyFiles, error) {
	files := keyFiles{operator: filepath.Join(dir, "operator.key"), system: filepath.Join(dir, "system.key")}
	if err := os.WriteFile(files.operator, []byte(operator), secretFileMode); err != nil {
		return files, errors.Wrap(err, "write operator key")
	}
	if err := os.WriteFile(files.system, []byte(system), secretFileMode); err != nil {
		return files, errors.Wrap(err, "write system key")
	}
	return files, nil
}

func (k keyFiles) settings() settings.Keys {
	return settings.Keys{
		Operator: settings.SecretSource{File: k.operator},
		System:   settings.SecretSource{File: k.system},
	}
}

// writeSettings writes a program's settings file and returns its path.
func (f *Fleet) writeSettings(name string, value any) (string, error) {
	content, err := yaml.Marshal(value)
	if err != nil {
		return "", errors.Wrapf(err, "encode settings of %s", name)
	}
	path := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(path, content, secretFileMode); err != nil {
		return "", errors.Wrapf(err, "write settings of %s", name)
	}
	return path, nil
}
