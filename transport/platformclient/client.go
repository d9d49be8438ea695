// Package platformclient is an HTTP client for the platform's configuration service
// and host list.
package platformclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/ebonyworks/ebonyworks"
	"github.com/ebonyworks/ebonyworks/jsonc"
	"github.com/ebonyworks/ebonyworks/protocol/configdoc"
)

const (
	defaultTimeout   = 2 * time.Second
	defaultWatchWait = 30 * time.Second
	// maxConnections bounds the connections to the platform. Each watch occupies one
	// while it waits.
	maxConnections     = 16
	maxIdleConnections = 4
	idleTimeout        = 90 * time.Second
	maxHeaderBytes     = 16 << 10
	maxErrorBytes      = 4 << 10
	// maxRetryAfter bounds the retry delay that an error response may request.
	maxRetryAfter = time.Hour

	valuesPrefix  = "/v1/values/"
	hostsPath     = "/v1/hosts"
	versionHeader = "Value-Version"
)

// Options configure a Client. Zero fields take their defaults.
type Options struct {
	// Address is the address of the platform.
	Address netip.AddrPort
	// Timeout bounds a call, 2 s by default. For a watch, it is added to the wait.
	Timeout time.Duration
	// WatchWait is how long a watch asks the service to wait for a change, 30 s by
	// default.
	WatchWait time.Duration
	// LocalAddress is the address from which connections are opened. The zero
	// value lets the operating system choose.
	LocalAddress netip.Addr
}

// Client is an ebonyworks.Platform over HTTP. It doesn't retry; that is left to the
// caller. Error responses of the platform are returned as *Error values.
type Client struct {
	options Options
	http    *http.Client
}

var _ ebonyworks.Platform = (*Client)(nil)

// NewClient returns a client. Close releases its connections.
func NewClient(options Options) *Client {
	if options.Timeout <= 0 {
		options.Timeout = defaultTimeout
	}
	if options.WatchWait <= 0 {
		options.WatchWait = defaultWatchWait
	}
	dialer := &net.Dialer{Timeout: options.Timeout}
	if options.LocalAddress.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(options.LocalAddress, 0))
	}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return &Client{options: options, http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}}
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections. Calls in flight continue until their contexts end.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Read returns the current value of the key on one replica of the service, which may
// lag behind.
func (c *Client) Read(ctx context.Context, key ebonyworks.ConfigurationKey) (ebonyworks.ConfigurationValue, error) {
	return c.value(ctx, key, "", c.options.Timeout)
}

// Watch waits until the value of the key has a version after the given one, or until
// the service ends the wait. It returns the value that the replica has then, which can
// be older than the given version.
func (c *Client) Watch(ctx context.Context, key ebonyworks.ConfigurationKey, after ebonyworks.KeyVersion) (ebonyworks.ConfigurationValue, error) {
	wait := c.options.WatchWait
	if deadline, ok := ctx.Deadline(); ok {
		wait = max(0, min(wait, time.Until(deadline)-c.options.Timeout))
	}
	query := url.Values{
		"After": {strconv.FormatUint(uint64(after), 10)},
		"Wait":  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.value(ctx, key, query.Encode(), wait+c.options.Timeout)
}

// Hosts returns the list of live and leaving hosts.
func (c *Client) Hosts(ctx context.Context) ([]ebonyworks.ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	_, body, err := c.get(ctx, url.URL{Path: hostsPath}, configdoc.MaxHostListBytes)
	if err != nil {
		return nil, err
	}
	hosts, problems := configdoc.Codec{}.DecodeHosts(body)
	if len(problems) > 0 {
		return nil, errors.Errorf("host list: %s: %s", problems[0].Path, problems[0].Message)
	}
	return hosts, nil
}

// value requests the value of the key and parses its version header.
func (c *Client) value(ctx context.Context, key ebonyworks.ConfigurationKey, query string, timeout time.Duration) (ebonyworks.ConfigurationValue, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	header, body, err := c.get(ctx, url.URL{Path: valuesPrefix + string(key), RawQuery: query}, configdoc.MaxValueBytes)
	if err != nil {
		return ebonyworks.ConfigurationValue{}, err
	}
	versions := header.Values(versionHeader)
	if len(versions) != 1 {
		return ebonyworks.ConfigurationValue{}, errors.Errorf("reply has %d versions", len(versions))
	}
	version, err := strconv.ParseUint(versions[0], 10, 64)
	if err != nil || version == 0 {
		return ebonyworks.ConfigurationValue{}, errors.Errorf("version %q is invalid", versions[0])
	}
	return ebonyworks.ConfigurationValue{Key: key, Version: ebonyworks.KeyVersion(version), Bytes: body}, nil
}

// get returns the header and the complete body of a reply with status 200.
func (c *Client) get(ctx context.Context, target url.URL, limit int) (http.Header, []byte, error) {
	target.Scheme = "http"
	target.Host = c.options.Address.String()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, nil, errors.Wrap(err, "request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, errors.Wrap(err, "platform")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, nil, readError(response)
	}
	// A Content-Length is required, because a truncated value would look complete
	// without it.
	if response.ContentLength < 0 {
		return nil, nil, errors.New("reply has no length")
	}
	body, err := readAll(response, limit)
	if err != nil {
		return nil, nil, err
	}
	return response.Header, body, nil
}

// readAll reads the body, up to limit bytes.
func readAll(response *http.Response, limit int) ([]byte, error) {
	if response.ContentLength > int64(limit) {
		return nil, errors.Errorf("reply has %d bytes, more than %d", response.ContentLength, limit)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "read reply")
	}
	if len(body) > limit {
		return nil, errors.Errorf("reply has more than %d bytes", limit)
	}
	return body, nil
}

// errorBody is the body of an error response.
type errorBody struct {
	Code                   string
	Message                string
	RetryAfterMilliseconds int
}

// readError returns an *Error. Its code is empty if the body can't be decoded.
func readError(response *http.Response) error {
	parsed := &Error{Status: response.StatusCode}
	body, err := readAll(response, maxErrorBytes)
	if err != nil {
		return parsed
	}
	var decoded errorBody
	if problems := jsonc.Decode(body, &decoded); len(problems) > 0 {
		return parsed
	}
	parsed.Code = Code(decoded.Code)
	parsed.Message = decoded.Message
	after := time.Duration(decoded.RetryAfterMilliseconds) * time.Millisecond
	parsed.RetryAfter = max(0, min(after, maxRetryAfter))
	return parsed
}
