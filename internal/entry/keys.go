package entry

import (
	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/settings"
)

// keys holds the configured secrets, which are read once at startup.
type keys struct {
	operator string
	system   string
}

// readKeys reads the configured keys. Its error is ErrKeys with the cause.
func readKeys(s settings.Keys) (keys, error) {
	operator, err := s.Operator.Read()
	if err != nil {
		return keys{}, errors.Wrap(ErrKeys, err.Error())
	}
	system, err := s.System.Read()
	if err != nil {
		return keys{}, errors.Wrap(ErrKeys, err.Error())
	}
	return keys{operator: operator, system: system}, nil
}
