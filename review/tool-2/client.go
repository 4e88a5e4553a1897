package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// A request is what a client sends.
type request struct {
	method, path, key, id string
	prompt, output        int
	body                  string
	deadline              time.Duration
	header                http.Header
	// patience is how long the client waits for the first bytes and between two; 0 stands
	// for its deadline.
	patience time.Duration
}

// An outcome is what a client got.
type outcome struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("status %d, %v, after %d ms", o.status, o.err, o.took.Milliseconds())
	}
	return fmt.Sprintf("status %d, %d bytes, after %d ms", o.status, len(o.body), o.took.Milliseconds())
}

func newRequestID() string { return fmt.Sprintf("9c41d07b%08x", lastRequest.Add(1)) }

// text returns the request as sent.
func (q *request) text() string {
	if q.id == "" {
		q.id = newRequestID()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.key)
	}
	if q.prompt > 0 {
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Usage: %d,%d\r\nX-Prompt-Prefix: 5c1e07a2:40,%s:%d\r\n", q.prompt, q.output, q.id, q.prompt-40)
	}
	for name, values := range q.header {
		for _, value := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", name, value)
		}
	}
	if q.method != http.MethodGet || q.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// A connection is a client's connection to a VM.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{c, bufio.NewReader(c)}, nil
}

// do sends a request on the connection and reads its answer.
func (c *connection) do(q *request) (o outcome) {
	begin := time.Now()
	defer func() { o.took = time.Since(begin) }()
	c.SetDeadline(begin.Add(q.deadline + 2*time.Second))
	if q.patience > 0 {
		c.SetDeadline(begin.Add(q.patience))
	}
	if _, err := io.WriteString(c, q.text()); err != nil {
		return outcome{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return outcome{err: err}
	}
	defer resp.Body.Close()
	var data []byte
	buf := make([]byte, 4096)
	for err == nil {
		if q.patience > 0 {
			c.SetDeadline(earlier(begin.Add(q.deadline), time.Now().Add(q.patience)))
		}
		var n int
		n, err = resp.Body.Read(buf)
		data = append(data, buf[:n]...)
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return outcome{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// send sends a request on a new connection.
func send(v *vm, q request) outcome {
	c, err := dial(v.front)
	if err != nil {
		return outcome{err: errors.New("no connection")}
	}
	defer c.Close()
	o := c.do(&q)
	note("client: %s %s %s prompt=%d at %s: %v", q.id, q.method, q.path, q.prompt, v.name, o)
	return o
}
