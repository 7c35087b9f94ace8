package platform

// This file defines the client of the object API.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxBody bounds an answer of the platform, in bytes.
const maxBody = 8 << 20

// ClientConfig configures a Client. Only Addresses is required.
type ClientConfig struct {
	Addresses []string      // IP:port, tried in turn
	Timeout   time.Duration // of one call, 2 s when zero; a watch gets its wait on top
}

// Client is a Store over HTTP. It may be used from several goroutines.
type Client struct {
	config ClientConfig
	http   *http.Client
	next   atomic.Uint32
	calls  atomic.Uint64
}

// New returns a client. Close releases its connections.
func New(config ClientConfig) *Client {
	if config.Timeout == 0 {
		config.Timeout = 2 * time.Second
	}
	dialer := &net.Dialer{Timeout: config.Timeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4}
	return &Client{config: config, http: &http.Client{Transport: transport}}
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Calls returns the number of calls made so far.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Fresh returns a client with the same settings and connections of its own.
func (c *Client) Fresh() *Client { return New(c.config) }

// page is the JSON answer to a list or a watch.
type page struct {
	Version uint64   `json:"version"`
	More    bool     `json:"more,omitempty"`
	Objects []Object `json:"objects"`
}

// answer is a read answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (c *Client) do(ctx context.Context, method, path string, header map[string]string, body []byte, timeout time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	addr := c.config.Addresses[int(c.next.Load())%len(c.config.Addresses)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, errors.Wrapf(err, "build request %s %s", method, path)
	}
	req.GetBody = nil // a write must not be sent twice by net/http
	for k, v := range header {
		req.Header.Set(k, v)
	}
	c.calls.Add(1)
	resp, err := c.http.Do(req)
	if err != nil {
		c.next.Add(1)
		return answer{}, lost(method, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return answer{}, lost(method, err)
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: data}, statusError(method, resp, data)
}

// lost classifies a call without an answer: a write may have taken effect
// unless the connection was never made.
func lost(method string, err error) error {
	var op *net.OpError
	if method == http.MethodGet || (errors.As(err, &op) && op.Op == "dial") {
		return errors.Wrap(ErrDown, err.Error())
	}
	return errors.Wrap(ErrUnknown, err.Error())
}

func statusError(method string, resp *http.Response, body []byte) error {
	switch {
	case resp.StatusCode < 300:
		return nil
	case resp.StatusCode == http.StatusNotFound:
		return ErrNotFound
	case resp.StatusCode == http.StatusPreconditionFailed:
		return ErrConflict
	case resp.StatusCode == http.StatusGone:
		return ErrGone
	case resp.StatusCode == http.StatusTooManyRequests:
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return &BusyError{After: time.Duration(max(seconds, 0.1) * float64(time.Second))}
	case resp.StatusCode == http.StatusServiceUnavailable:
		return errors.Wrap(ErrDown, resp.Status)
	case resp.StatusCode >= 500 && method != http.MethodGet:
		return errors.Wrap(ErrUnknown, resp.Status)
	}
	return errors.Errorf("platform answers %s: %s", resp.Status, strings.TrimSpace(string(body)))
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

func parseETag(h http.Header) (uint64, error) {
	text, err := strconv.Unquote(h.Get("ETag"))
	if err != nil {
		return 0, errors.Errorf("platform answers ETag %q, want a quoted number", h.Get("ETag"))
	}
	v, err := strconv.ParseUint(text, 10, 64)
	return v, errors.Wrapf(err, "ETag %q", text)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	a, err := c.do(ctx, http.MethodGet, objectPath(kind, name), nil, nil, c.config.Timeout)
	if err != nil {
		return Object{}, err
	}
	v, err := parseETag(a.header)
	return Object{Kind: kind, Name: name, Version: v, Body: a.body}, err
}

func (c *Client) page(ctx context.Context, path string, timeout time.Duration) (page, error) {
	a, err := c.do(ctx, http.MethodGet, path, nil, nil, timeout)
	if err != nil {
		return page{}, err
	}
	var p page
	if err := json.Unmarshal(a.body, &p); err != nil {
		return page{}, errors.Wrapf(err, "decode answer to GET %s", path)
	}
	return p, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind, after string) ([]Object, uint64, bool, error) {
	p, err := c.page(ctx, "/objects/"+url.PathEscape(kind)+"?after="+url.QueryEscape(after), c.config.Timeout)
	return p.Objects, p.Version, p.More, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) ([]Object, uint64, error) {
	path := fmt.Sprintf("/objects/%s?watch=%d&wait=%d", url.PathEscape(kind), version, wait.Milliseconds())
	p, err := c.page(ctx, path, wait+c.config.Timeout)
	return p.Objects, p.Version, err
}

func (c *Client) write(ctx context.Context, method, kind, name string, header map[string]string, body []byte) (Object, error) {
	a, err := c.do(ctx, method, objectPath(kind, name), header, body, c.config.Timeout)
	if err != nil {
		return Object{}, err
	}
	v, err := parseETag(a.header)
	return Object{Kind: kind, Name: name, Version: v, Body: body}, err
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, kind, name string, body []byte) (Object, error) {
	return c.write(ctx, http.MethodPut, kind, name, map[string]string{"If-None-Match": "*"}, body)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, kind, name string, version uint64, body []byte) (Object, error) {
	return c.write(ctx, http.MethodPut, kind, name, map[string]string{"If-Match": etag(version)}, body)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	_, err := c.do(ctx, http.MethodDelete, objectPath(kind, name), map[string]string{"If-Match": etag(version)}, nil, c.config.Timeout)
	return err
}
