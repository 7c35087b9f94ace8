package store

// This file implements the HTTP client of the object API.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"caroblift.dev/mesh/hop"
	"caroblift.dev/mesh/telemetry"
)

// Values of the tag "kind" in the counter of calls.
const (
	callGet    = "get"
	callList   = "list"
	callWatch  = "watch"
	callCreate = "create"
	callUpdate = "update"
	callDelete = "delete"
)

var callKinds = []string{callGet, callList, callWatch, callCreate, callUpdate, callDelete}

// ClientConfig configures a Client. Only Addresses is required.
type ClientConfig struct {
	Addresses []string      // IP:port, used in turn after failures
	Timeout   time.Duration // of one call, 2 s when zero; a watch may take its wait longer
	Sinks     telemetry.Sinks
}

// Client is a Store over HTTP. It is safe for concurrent use.
type Client struct {
	config      ClientConfig
	http        *http.Client
	nextAddress atomic.Uint32
	calls       map[string]*atomic.Uint64 // by kind; the map is not changed after New
}

// New returns a client. Close releases its connections.
func New(config ClientConfig) *Client {
	if config.Timeout == 0 {
		config.Timeout = 2 * time.Second
	}
	config.Sinks = config.Sinks.WithDefaults()
	dialer := &hop.Dialer{Dialer: net.Dialer{Timeout: config.Timeout}}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: hop.MaxHeaderBytes}
	c := &Client{config: config, http: &http.Client{Transport: hop.Transport{Transport: transport}}, calls: map[string]*atomic.Uint64{}}
	for _, kind := range callKinds {
		c.calls[kind] = new(atomic.Uint64)
	}
	return c
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Calls returns the total number of calls made so far.
func (c *Client) Calls() uint64 {
	var n uint64
	for _, counter := range c.calls {
		n += counter.Load()
	}
	return n
}

// Counts returns the number of calls made so far, by kind.
func (c *Client) Counts() map[string]uint64 {
	out := map[string]uint64{}
	for kind, counter := range c.calls {
		out[kind] = counter.Load()
	}
	return out
}

func (c *Client) count(kind string) {
	c.calls[kind].Add(1)
	c.config.Sinks.Scope.Tagged(map[string]string{"kind": kind}).Counter("calls").Inc(1)
}

// Clone returns a client with the same settings and its own connections.
func (c *Client) Clone() *Client { return New(c.config) }

// page is the JSON body of the response to a list or a watch.
type page struct {
	Version Version  `json:"version"`
	More    bool     `json:"more,omitempty"`
	Objects []Object `json:"objects"`
}

// response is an HTTP response with its body read.
type response struct {
	status int
	header http.Header
	body   []byte
}

// request describes one call to the platform.
type request struct {
	kind, method, path string
	header             map[string]string
	body               []byte
	timeout            time.Duration
}

// do sends a request to the current address. A failed one makes the next call
// use another address.
func (c *Client) do(ctx context.Context, in request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, in.timeout)
	defer cancel()
	addr := c.config.Addresses[int(c.nextAddress.Load())%len(c.config.Addresses)]
	req, err := http.NewRequestWithContext(ctx, in.method, "http://"+addr+in.path, bytes.NewReader(in.body))
	if err != nil {
		return response{}, errors.Wrapf(err, "build request %s %s", in.method, in.path)
	}
	req.GetBody = nil // keeps net/http from sending a write twice
	for k, v := range in.header {
		req.Header.Set(k, v)
	}
	c.count(in.kind)
	resp, err := c.http.Do(req)
	if err != nil {
		c.useNextAddress()
		return response{}, ClassifyTransportError(in.method, err)
	}
	defer resp.Body.Close()
	data, err := ReadResponse(resp.Body)
	if err != nil {
		c.useNextAddress()
		return response{}, ClassifyTransportError(in.method, err)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: data}, ClassifyResponse(in.method, http.StatusPreconditionFailed, resp, data)
}

// useNextAddress makes the next call use the next address and a new connection.
// The fault that broke or blackholed one connection may affect the idle ones as
// well.
func (c *Client) useNextAddress() {
	c.nextAddress.Add(1)
	c.http.CloseIdleConnections()
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func etag(version Version) string { return strconv.Quote(strconv.FormatUint(version.Revision, 10)) }

func parseETag(h http.Header) (Version, error) {
	text, err := strconv.Unquote(h.Get("ETag"))
	if err != nil {
		return Version{}, errors.Errorf("platform returned ETag %q, want a quoted version number", h.Get("ETag"))
	}
	v, err := strconv.ParseUint(text, 10, 64)
	return Version{Revision: v}, errors.Wrapf(err, "parse ETag %q", text)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	a, err := c.do(ctx, request{kind: callGet, method: http.MethodGet, path: objectPath(kind, name), timeout: c.config.Timeout})
	if err != nil {
		return Object{}, err
	}
	v, err := parseETag(a.header)
	return Object{Kind: kind, Name: name, Version: v, Body: a.body}, err
}

func (c *Client) fetchPage(ctx context.Context, kind, path string, timeout time.Duration) (page, error) {
	a, err := c.do(ctx, request{kind: kind, method: http.MethodGet, path: path, timeout: timeout})
	if err != nil {
		return page{}, err
	}
	var p page
	if err := json.Unmarshal(a.body, &p); err != nil {
		return page{}, errors.Wrapf(err, "decode response to GET %s", path)
	}
	return p, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind, after string) ([]Object, Version, bool, error) {
	p, err := c.fetchPage(ctx, callList, "/objects/"+url.PathEscape(kind)+"?after="+url.QueryEscape(after), c.config.Timeout)
	return p.Objects, p.Version, p.More, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind string, version Version, wait time.Duration) ([]Object, Version, error) {
	path := fmt.Sprintf("/objects/%s?watch=%d&wait=%d", url.PathEscape(kind), version.Revision, wait.Milliseconds())
	p, err := c.fetchPage(ctx, callWatch, path, wait+c.config.Timeout)
	return p.Objects, p.Version, err
}

func (c *Client) write(ctx context.Context, kind, name string, in request) (Object, error) {
	in.path, in.timeout = objectPath(kind, name), c.config.Timeout
	a, err := c.do(ctx, in)
	if err != nil {
		return Object{}, err
	}
	if in.kind == callDelete {
		return Object{}, nil
	}
	v, err := parseETag(a.header)
	if err != nil {
		return Object{}, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return Object{Kind: kind, Name: name, Version: v, Body: in.body}, nil
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, kind, name string, body []byte) (Object, error) {
	header := map[string]string{"If-None-Match": "*"}
	return c.write(ctx, kind, name, request{kind: callCreate, method: http.MethodPut, header: header, body: body})
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, kind, name string, version Version, body []byte) (Object, error) {
	header := map[string]string{"If-Match": etag(version)}
	return c.write(ctx, kind, name, request{kind: callUpdate, method: http.MethodPut, header: header, body: body})
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, version Version) error {
	header := map[string]string{"If-Match": etag(version)}
	_, err := c.write(ctx, kind, name, request{kind: callDelete, method: http.MethodDelete, header: header})
	return err
}
