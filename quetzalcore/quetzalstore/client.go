package quetzalstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"quetzalstair/quetzalcore/quetzalcodec"
	"quetzalstair/quetzalcore/quetzalfleet"
	"quetzalstair/quetzalcore/quetzalunit"
	"quetzalstair/quetzalcore/quetzalwire"
)

const (
	// callTimeout limits one call to the platform.
	callTimeout = 2 * time.Second
	// maxReplyBytes limits the size of a reply body, in bytes. A longer one is cut off, and its
	// JSON then fails to decode.
	maxReplyBytes = 64 << 20
	// maxConnections limits the number of connections to the platform.
	maxConnections = 16
)

// StatusError is the error of a reply with an unexpected HTTP status.
type StatusError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return "platform: " + e.Path + ": unexpected status " + strconv.Itoa(e.Status)
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    http.Client
	bytes   atomic.Int64

	mu sync.Mutex
	// lastHosts is the last list of hosts that was read, lastETag its ETag.
	lastHosts quetzalfleet.HostsListed
	lastETag  string
}

// New returns a client of the platform at a base URL, and a function that
// closes its idle connections.
func New(baseURL string) (*Client, func()) {
	transport := &http.Transport{MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections}
	c := &Client{baseURL: baseURL, http: http.Client{Transport: transport, Timeout: callTimeout}}
	return c, transport.CloseIdleConnections
}

// Bytes returns the number of bytes sent and received: paths, queries and bodies. Headers and
// the bodies of PutObject are not counted.
func (c *Client) Bytes() int64 {
	return c.bytes.Load()
}

// Execute makes the call to the platform that a command describes. Other commands give a nil result.
func (c *Client) Execute(ctx context.Context, command quetzalfleet.Command) (quetzalfleet.StoreResult, error) {
	var result quetzalfleet.StoreResult
	var err error
	switch v := command.(type) {
	case quetzalfleet.WriteStore:
		result, err = c.commit(ctx, &v.Transaction)
	case quetzalfleet.ReadStore:
		result, err = c.readRows(ctx, v.Keys)
	case quetzalfleet.ScanStore:
		result, err = c.scanRows(ctx, v.Tables, v.SinceRevision, v.Limit)
	case quetzalfleet.PutObject:
		result, err = c.putObject(ctx, v.Key, v.Object)
	case quetzalfleet.GetObject:
		result, err = c.getObject(ctx, v.Key)
	case quetzalfleet.ListHosts:
		result, err = c.listHosts(ctx)
	case quetzalfleet.RebootHost:
		result, err = c.rebootHost(ctx, v.Host, v.Before)
	default:
		return nil, nil //nolint:nilnil // a command that does not call the platform is not an error
	}
	if err != nil {
		return quetzalfleet.NoAnswer{}, err
	}
	return result, nil
}

func (c *Client) commit(ctx context.Context, t *quetzalfleet.Transaction) (quetzalfleet.StoreResult, error) {
	req := quetzalwire.TransactionRequest{
		Conditions: make([]quetzalwire.RowCondition, 0, len(t.Conditions)),
		Writes:     make([]quetzalwire.RowWrite, 0, len(t.Writes)),
	}
	for _, v := range t.Conditions {
		req.Conditions = append(req.Conditions, encodeCondition(v.Key, v.Revision))
	}
	for _, v := range t.Writes {
		row := quetzalwire.RowWrite{Table: string(v.Key.Table), Key: v.Key.Key, Delete: v.Row == nil}
		if v.Row != nil {
			var err error
			if row.Value, err = quetzalcodec.EncodeRow(v.Row); err != nil {
				return nil, err
			}
		}
		req.Writes = append(req.Writes, row)
	}
	var reply quetzalwire.TransactionReply
	if err := c.callJSON(ctx, http.MethodPost, "/transactions", req, &reply); err != nil {
		return nil, err
	}
	if reply.Committed {
		return quetzalfleet.Committed{Revision: quetzalunit.Revision(reply.Revision)}, nil
	}
	rows, err := decodePresent(reply.Conflicts)
	return quetzalfleet.ConditionsFailed{Rows: rows}, err
}

// decodePresent decodes the rows that exist. A row with revision zero is absent.
func decodePresent(docs []quetzalwire.Row) ([]quetzalfleet.RowAtRevision, error) {
	present := make([]quetzalwire.Row, 0, len(docs))
	for _, d := range docs {
		if d.Revision > 0 {
			present = append(present, d)
		}
	}
	return quetzalcodec.DecodeRows(present)
}

func encodeCondition(key quetzalfleet.RowKey, revision quetzalunit.Revision) quetzalwire.RowCondition {
	return quetzalwire.RowCondition{Table: string(key.Table), Key: key.Key, Revision: int(revision)}
}

func (c *Client) readRows(ctx context.Context, keys []quetzalfleet.RowKey) (quetzalfleet.StoreResult, error) {
	req := quetzalwire.ReadRequest{Rows: make([]quetzalwire.RowCondition, 0, len(keys))}
	for _, key := range keys {
		req.Rows = append(req.Rows, encodeCondition(key, 0))
	}
	return c.requestRows(ctx, http.MethodPost, "/reads", req)
}

func (c *Client) scanRows(
	ctx context.Context, tables []quetzalfleet.TableName, after quetzalunit.Revision, limit int,
) (quetzalfleet.StoreResult, error) {
	query := url.Values{"After": {strconv.FormatInt(int64(after), 10)}}
	if limit > 0 {
		query.Set("Limit", strconv.Itoa(limit))
	}
	for _, table := range tables {
		query.Add("Table", string(table))
	}
	return c.requestRows(ctx, http.MethodGet, "/rows?"+query.Encode(), nil)
}

func (c *Client) requestRows(ctx context.Context, method, path string, body any) (quetzalfleet.StoreResult, error) {
	var reply quetzalwire.ScanReply
	if err := c.callJSON(ctx, method, path, body, &reply); err != nil {
		return nil, err
	}
	rows, err := quetzalcodec.DecodeRows(reply.Rows)
	return quetzalfleet.RowsRead{Revision: quetzalunit.Revision(reply.Revision), Rows: rows}, err
}

// listHosts reads the list of hosts. It sends the ETag of the last list, so that the platform
// need not send an unchanged list again.
func (c *Client) listHosts(ctx context.Context) (quetzalfleet.StoreResult, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/hosts", nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	c.mu.Lock()
	req.Header.Set("If-None-Match", c.lastETag)
	last := c.lastHosts
	c.mu.Unlock()
	res, err := c.roundTrip(req)
	if err != nil {
		return nil, err
	}
	if res.status == http.StatusNotModified {
		return last, nil
	}
	if res.status != http.StatusOK {
		return nil, &StatusError{Path: "/hosts", Status: res.status}
	}
	var doc quetzalwire.HostList
	if err := json.Unmarshal(res.body, &doc); err != nil {
		return nil, eris.Wrap(err, "decode host list")
	}
	listed := decodeHostList(&doc)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastHosts, c.lastETag = listed, res.etag
	return listed, nil
}

func decodeHostList(doc *quetzalwire.HostList) quetzalfleet.HostsListed {
	result := quetzalfleet.HostsListed{Hosts: make([]quetzalfleet.ListedHost, 0, len(doc.Hosts))}
	for _, d := range doc.Hosts {
		h := quetzalfleet.ListedHost{ID: quetzalunit.HostID(d.Host), Boot: quetzalunit.Boot(d.Boot)}
		switch d.State {
		case quetzalwire.ListedHostStateLeaving:
			h.State = quetzalfleet.ListedLeaving
		case quetzalwire.ListedHostStateGone:
			h.State = quetzalfleet.ListedGone
		case quetzalwire.ListedHostStateLive:
		}
		result.Hosts = append(result.Hosts, h)
	}
	return result
}

func (c *Client) objectURL(key quetzalfleet.ObjectKey) string {
	return c.baseURL + "/objects/" + url.PathEscape(string(key))
}

func (c *Client) putObject(
	ctx context.Context, key quetzalfleet.ObjectKey, p *quetzalfleet.Payload,
) (quetzalfleet.StoreResult, error) {
	data, err := quetzalcodec.EncodeObject(p)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.objectURL(key), bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	res, err := c.roundTrip(req)
	if err != nil {
		return nil, err
	}
	if res.status != http.StatusOK {
		return nil, &StatusError{Path: req.URL.Path, Status: res.status}
	}
	return quetzalfleet.ObjectStored{}, nil
}

func (c *Client) getObject(ctx context.Context, key quetzalfleet.ObjectKey) (quetzalfleet.StoreResult, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.objectURL(key), nil)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	res, err := c.roundTrip(req)
	if err != nil {
		return nil, err
	}
	switch res.status {
	case http.StatusNotFound:
		return quetzalfleet.ObjectRead{}, nil
	case http.StatusOK:
		p, err := quetzalcodec.DecodeObject(res.body)
		return quetzalfleet.ObjectRead{Object: p}, err
	}
	return nil, &StatusError{Path: req.URL.Path, Status: res.status}
}

func (c *Client) rebootHost(
	ctx context.Context, host quetzalunit.HostID, before quetzalunit.Boot,
) (quetzalfleet.StoreResult, error) {
	path := "/hosts/" + url.PathEscape(string(host)) + "/reboot?Before=" + strconv.FormatInt(int64(before), 10)
	if err := c.callJSON(ctx, http.MethodPost, path, nil, nil); err != nil {
		return nil, err
	}
	return quetzalfleet.RebootAccepted{}, nil
}

// response is the status, ETag and body of an HTTP response.
type response struct {
	status int
	etag   string
	body   []byte
}

// roundTrip sends a request and reads the body of the response.
func (c *Client) roundTrip(req *http.Request) (response, error) {
	res, err := c.http.Do(req)
	if err != nil {
		return response{}, eris.Wrap(err, "call platform")
	}
	defer res.Body.Close() //nolint:errcheck // the body has been read
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	c.bytes.Add(int64(len(req.URL.Path) + len(req.URL.RawQuery) + len(data)))
	return response{status: res.StatusCode, etag: res.Header.Get("ETag"), body: data}, eris.Wrap(err, "read reply")
}

// callJSON sends a request with a JSON body, unless body is nil, and decodes the JSON reply,
// unless reply is nil.
func (c *Client) callJSON(ctx context.Context, method, path string, body, reply any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return eris.Wrap(err, "encode")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	c.bytes.Add(int64(len(data)))
	res, err := c.roundTrip(req)
	if err != nil {
		return err
	}
	if res.status != http.StatusOK {
		return &StatusError{Path: path, Status: res.status}
	}
	if reply == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(res.body, reply), "decode reply")
}
