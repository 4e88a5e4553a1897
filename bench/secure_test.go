package main_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/heathervane/heathervane/bench/starter"
	"github.com/heathervane/heathervane/library/signer"
)

// settings are those of a VM with TLS on both sides; paths are relative.
const settings = `id = %q
zone = "a"
[callers]
address = "127.0.0.1:0"
certificate = "certificate.pem"
key = "key.pem"
[peers]
address = "127.0.0.1:0"
secret = "a secret for this test alone"
certificate = "certificate.pem"
key = "key.pem"
authority = "authority.pem"
[watch]
address = "127.0.0.1:0"
[platform]
log = "http://%s"
list = "http://%s"
`

// secured starts one VM with TLS, in a folder of its own.
func (b *bench) secured(t *testing.T, a *signer.Signer, id string) (*starter.Process, string) {
	folder := t.TempDir()
	assert.NilError(t, a.Issue(folder, 1, time.Hour))
	path := filepath.Join(folder, "entry.toml")
	text := fmt.Sprintf(settings, id, b.Log.Line.Address, b.List.Line.Address)
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	p, err := programs()
	assert.NilError(t, err)
	cmd := exec.CommandContext(context.Background(), p.Entry, "--settings", path)
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	// The test's own context ends before its cleanups, and would kill the VM
	// before it has been asked.
	t.Cleanup(func() {
		assert.Check(t, cmd.Process.Signal(syscall.SIGTERM))
		assert.Check(t, cmd.Wait())
	})
	first, err := bufio.NewReader(out).ReadBytes('\n')
	assert.NilError(t, err)
	vm := &starter.Process{Name: id}
	assert.NilError(t, json.Unmarshal(first, &vm.Line))
	assert.NilError(t, b.Register(b.ctx, vm, "live"))
	return vm, folder
}

// metric says whether a VM's metrics have a line.
func (b *bench) metric(vm *starter.Process, line string) (bool, error) {
	req, err := http.NewRequestWithContext(b.ctx, http.MethodGet, "http://"+vm.Line.Watch+"/metrics", http.NoBody)
	if err != nil {
		return false, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return strings.Contains(string(body), "\n"+line+"\n"), err
}

// Two VMs talk over TLS and serve callers over TLS. A caller's certificate check
// succeeds, also after the certificate was renewed without a restart; somebody
// without a certificate of the fleet gets no link to a VM.
func TestTLSOnBothSides(t *testing.T) {
	b := start(t, func(s *starter.Size) { s.VMs = 0 })
	a, err := signer.New()
	assert.NilError(t, err)
	one, folder := b.secured(t, a, "tls-1")
	two, _ := b.secured(t, a, "tls-2")
	for _, vm := range []*starter.Process{one, two} {
		assert.NilError(t, b.Ready(b.ctx, vm))
		b.until("the VMs are linked", func() (bool, error) { return b.metric(vm, "heathervane_links_open 1") })
	}
	roots := x509.NewCertPool()
	assert.Assert(t, roots.AppendCertsFromPEM(a.PEM))
	assert.Equal(t, b.answered(one, roots), int64(1))
	assert.NilError(t, a.Issue(folder, 2, time.Hour))
	b.until("the renewed certificate is in use", func() (bool, error) { return b.answered(one, roots) == 2, nil })

	stranger := &tls.Dialer{Config: &tls.Config{InsecureSkipVerify: true}}
	conn, err := stranger.DialContext(b.ctx, "tcp", one.Line.Peers)
	if err == nil {
		defer conn.Close()
		_, err = conn.Read(make([]byte, 1))
	}
	assert.ErrorContains(t, err, "certificate required")
}

// answered asks a question over TLS on a new connection, and returns the serial
// number of the certificate that the VM showed.
func (b *bench) answered(vm *starter.Process, roots *x509.CertPool) int64 {
	b.t.Helper()
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}
	defer transport.CloseIdleConnections()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":4,"messages":[{"role":"user","content":"which course is free?"}]}`, b.Size.Model)
	req, err := http.NewRequestWithContext(b.ctx, http.MethodPost, "https://"+vm.Line.Callers+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(b.t, err)
	req.Header.Set("Authorization", "Bearer "+b.token())
	res, err := (&http.Client{Transport: transport}).Do(req)
	assert.NilError(b.t, err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	assert.NilError(b.t, err)
	assert.Equal(b.t, res.StatusCode, http.StatusOK, "%s", text)
	return res.TLS.PeerCertificates[0].SerialNumber.Int64()
}
