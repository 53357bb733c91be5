package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/auth"
)

// VersionPath is where a process tells its Version.
const VersionPath = "/internal/v1/version"

// versionTimeout bounds the question for a Version; processes that are there
// answer within milliseconds, also in another region.
const versionTimeout = time.Second

// Version is which targets a process has in force.
type Version struct {
	Process string `json:"process"`
	Targets uint64 `json:"targets"`
}

// VersionHandler tells the Version of this process.
func VersionHandler(version func() Version) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(version())
	}
}

// AskVersion reads the Version of the process at addr: ErrUnreachable.
func AskVersion(ctx context.Context, addr, systemKey string) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	var v Version
	err := ask(ctx, "http://"+addr+VersionPath, systemKey, &v)
	return v, err
}

// ask reads one JSON answer over a connection of its own, since an idle one
// may have gone silent unnoticed.
func ask(ctx context.Context, url, systemKey string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	auth.SetBearer(req.Header, systemKey)
	response, err := client.Do(req)
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Wrap(ErrUnreachable, response.Status)
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxState)).Decode(into); err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	return nil
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
