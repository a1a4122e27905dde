// Package machines reads the platform's list of engines and nodes that are running or about to leave. The list may be stale.
package machines

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Role is what a machine runs.
type Role string

// The roles of machines.
const (
	RoleEngine Role = "engine"
	RoleNode   Role = "node"
)

// Machine is one entry of the list.
type Machine struct {
	ID      string `json:"id" cbor:"1,keyasint"`
	Address string `json:"address" cbor:"2,keyasint"`
	Zone    string `json:"zone" cbor:"3,keyasint"`
	Region  string `json:"region" cbor:"4,keyasint"`
	Role    Role   `json:"role" cbor:"5,keyasint"`
	Leaving bool   `json:"leaving" cbor:"6,keyasint"`
}

// List is the machine list at one revision.
type List struct {
	Revision uint64    `json:"revision" cbor:"1,keyasint"`
	Machines []Machine `json:"machines" cbor:"2,keyasint"`
}

// Source provides the machine list.
type Source interface {
	// Newer returns the list if its revision is greater than the given one; the bool is false if there is no such list.
	Newer(ctx context.Context, after uint64) (List, bool, error)
}

// HTTP implements Source for the platform's HTTP protocol (docs/PLATFORM.md).
type HTTP struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

// NewHTTP returns a source at base, such as "http://host:port".
func NewHTTP(base string, client *http.Client, timeout time.Duration) *HTTP {
	return &HTTP{base: base, client: client, timeout: timeout}
}

const maxResponseBytes = 8 << 20

// Newer implements Source.
func (source *HTTP) Newer(ctx context.Context, after uint64) (List, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, source.timeout)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, source.base+"/v1/machines?"+query.Encode(), nil)
	if err != nil {
		return List{}, false, errors.Wrap(err, "machine list")
	}
	response, err := source.client.Do(request)
	if err != nil {
		return List{}, false, errors.Wrap(err, "machine list")
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return List{}, false, nil
	}
	if response.StatusCode != http.StatusOK {
		return List{}, false, errors.Newf("machine list answered %d", response.StatusCode)
	}
	var list List
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&list)
	return list, err == nil && list.Revision > after, errors.Wrap(err, "machine list")
}
