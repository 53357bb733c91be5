package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/applepier/applepier/internal/auth"
	"github.com/applepier/applepier/internal/dial"
)

// VersionPath is the URL path at which a process serves its Version.
const VersionPath = "/internal/v1/version"

// versionTimeout bounds a Version request. A running process responds within
// milliseconds, also from another region.
const versionTimeout = time.Second

// Version holds the version of the targets that a process has applied.
type Version struct {
	Process string `json:"process"`
	Targets uint64 `json:"targets"`
}

// VersionHandler serves the Version of this process as JSON.
func VersionHandler(version func() Version) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(version())
	}
}

// FetchVersion reads the Version of the process at addr (host:port). Failures to get
// or decode a response are ErrUnreachable.
func FetchVersion(ctx context.Context, addr, systemKey string) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	var v Version
	err := getJSON(ctx, "http://"+addr+VersionPath, systemKey, &v)
	return v, err
}

// getJSON reads a JSON response of up to maxResponseBytes into result. Each request
// opens a new connection, because a reused idle connection may have been dropped on
// the path without a reset.
func getJSON(ctx context.Context, url, systemKey string, result any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	auth.SetBearer(req.Header, systemKey)
	response, err := httpClient.Do(req)
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Wrap(ErrUnreachable, response.Status)
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxResponseBytes)).Decode(result); err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	return nil
}

var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: dial.MaxHeadBytes}}
