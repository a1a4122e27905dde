package keyvalue

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const maxResponseBytes = 32 << 20

// HTTP implements Client for the service's HTTP protocol.
type HTTP struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

// NewHTTP returns a client of the service at base, such as "http://host:port". The timeout bounds each call; a watch may take longer by
// its wait.
func NewHTTP(base string, client *http.Client, timeout time.Duration) *HTTP {
	return &HTTP{base: base, client: client, timeout: timeout}
}

// List implements Client.
func (service *HTTP) List(ctx context.Context, prefix string) (Listing, error) {
	var listing Listing
	query := url.Values{"prefix": {prefix}}
	err := service.call(ctx, http.MethodGet, "/v1/kv?"+query.Encode(), nil, &listing, service.timeout)
	return listing, err
}

// Watch implements Client.
func (service *HTTP) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error) {
	var listing Listing
	query := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	err := service.call(ctx, http.MethodGet, "/v1/watch?"+query.Encode(), nil, &listing, service.timeout+wait)
	return listing, err
}

// CompareAndSwap implements Client.
func (service *HTTP) CompareAndSwap(ctx context.Context, swap Swap) (uint64, error) {
	var item Item
	err := service.call(ctx, http.MethodPut, "/v1/kv", swap, &item, service.timeout)
	return item.Revision, err
}

type leaseBody struct {
	ID           LeaseID `json:"id,omitempty"`
	Milliseconds int64   `json:"life_ms,omitempty"`
}

// GrantLease implements Client.
func (service *HTTP) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var lease leaseBody
	err := service.call(ctx, http.MethodPost, "/v1/leases", leaseBody{Milliseconds: ttl.Milliseconds()}, &lease, service.timeout)
	return lease.ID, err
}

// RenewLease implements Client.
func (service *HTTP) RenewLease(ctx context.Context, lease LeaseID) error {
	return service.call(ctx, http.MethodPost, "/v1/leases/"+url.PathEscape(string(lease))+"/renew", struct{}{}, nil, service.timeout)
}

// RevokeLease implements Client.
func (service *HTTP) RevokeLease(ctx context.Context, lease LeaseID) error {
	return service.call(ctx, http.MethodDelete, "/v1/leases/"+url.PathEscape(string(lease)), nil, nil, service.timeout)
}

// call sends one request and maps a failure to one of the errors of Client, by whether the service may have changed anything.
func (service *HTTP) call(ctx context.Context, method, path string, body, answer any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := service.request(ctx, method, path, body)
	if err != nil {
		return err
	}
	response, err := service.client.Do(request)
	if err != nil {
		if connected.Load() && method != http.MethodGet {
			return errors.Mark(errors.Wrap(err, "key-value service"), ErrUncertain)
		}
		return errors.Mark(errors.Wrap(err, "key-value service"), ErrUnreachable)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "key-value service"), ErrUncertain)
	}
	return decode(response.StatusCode, content, answer)
}

func (service *HTTP) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode")
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, service.base+path, reader)
	return request, errors.Wrap(err, "request")
}

func decode(status int, content []byte, answer any) error {
	switch {
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusTooManyRequests:
		return ErrLimited
	case status == http.StatusNotFound:
		return ErrLeaseGone
	case status == http.StatusServiceUnavailable:
		return errors.Mark(errors.New("key-value service is down"), ErrUnreachable)
	case status != http.StatusOK:
		return errors.Mark(errors.Newf("key-value service answered %d", status), ErrUncertain)
	case answer == nil:
		return nil
	default:
		return errors.Mark(json.Unmarshal(content, answer), ErrUncertain)
	}
}
