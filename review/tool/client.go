package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// A caller is a client's connection, which is kept for several requests.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(v *vm) (*caller, error) {
	c, err := net.DialTimeout("tcp", v.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{c, bufio.NewReader(c)}, nil
}

// A call is a request and what came of it.
type call struct {
	id, method, path string
	tokens           string
	deadline         time.Duration
	sentAt, endedAt  time.Time
	status           int
	whole            bool
	closes           bool
	body             string
	err              error
}

const apiKey = "n2ctnfzs989anu6wsjnb"

// do sends a request and reads the answer to its end, or until the deadline.
func (c *caller) do(k *call) {
	body := "body of " + k.id
	if k.method == http.MethodGet {
		body = ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		k.method, k.path, k.id, k.deadline.Milliseconds(), apiKey)
	if k.tokens != "" {
		prompt := 0
		fmt.Sscanf(k.tokens, "%d", &prompt)
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Usage: %s\r\nX-Prompt-Prefix: 5c1e07a2:40,%x:%d\r\n", k.tokens, k.id, prompt-40)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	k.sentAt = time.Now()
	note("client sends %s %s %s", k.id, k.method, k.path)
	defer func() {
		k.endedAt = time.Now()
		note("client's %s ends %d ms after its sending: status %d, whole %t, error %v", k.id, k.endedAt.Sub(k.sentAt).Milliseconds(), k.status, k.whole, k.err)
	}()
	c.conn.SetDeadline(k.sentAt.Add(k.deadline))
	if _, k.err = io.WriteString(c.conn, b.String()); k.err != nil {
		return
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: k.method})
	if err != nil {
		k.err = err
		return
	}
	defer resp.Body.Close()
	k.status, k.closes = resp.StatusCode, resp.Close
	data, err := io.ReadAll(resp.Body)
	k.body, k.err, k.whole = string(data), err, err == nil
}
