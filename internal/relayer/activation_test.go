package relayer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/marigoldrelay/marigoldrelay/internal/administrator"
	"github.com/marigoldrelay/marigoldrelay/internal/demonstrator"
	"github.com/marigoldrelay/marigoldrelay/internal/forwarder"
	"github.com/marigoldrelay/marigoldrelay/internal/timekeeper"
	"github.com/marigoldrelay/marigoldrelay/internal/validator"
)

// activationBound is the users' limit on the time until a change is in force at every node.
const activationBound = 17 * time.Second

// putDocument makes a version of the document through a node's administration API. A base of 0 makes the first
// version.
func putDocument(tb testing.TB, d *demonstrator.Deployment, deployed *demonstrator.DeployedNode, base uint64, id string) {
	tb.Helper()
	document, err := demonstrator.Document()
	if err != nil {
		tb.Fatal(err)
	}
	for _, one := range d.Nodes() {
		if disk := one.Node.Status().DiskID; disk != "" {
			document.ControlReplicas = append(document.ControlReplicas, validator.ControlReplica{DiskID: disk, VM: one.Spec.Name})
		}
	}
	text, err := json.Marshal(document)
	if err != nil {
		tb.Fatal(err)
	}
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.Header.SetMethod(fasthttp.MethodPut)
	req.SetRequestURI(administrator.PathDocument)
	req.Header.SetHost("admin")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+d.Token())
	req.Header.Set(administrator.HeaderChangeID, id)
	req.Header.Set(fasthttp.HeaderIfMatch, fmt.Sprintf("%q", fmt.Sprint(base)))
	if base == 0 {
		req.Header.Del(fasthttp.HeaderIfMatch)
		req.Header.Set(fasthttp.HeaderIfNoneMatch, "*")
	}
	req.SetBody(text)
	pool := forwarder.New(deployed.Settings.AdminAddress, timekeeper.System{})
	defer pool.Close()
	err = pool.Do(context.Background(), &forwarder.Exchange{Deadline: time.Now().Add(10 * time.Second), Request: req, Response: resp})
	if err != nil || resp.StatusCode() != fasthttp.StatusOK {
		tb.Fatalf("status %d, %v: %s", resp.StatusCode(), err, resp.Body())
	}
}

// awaitVersion waits until the version is in force at every node and returns how long that took.
func awaitVersion(tb testing.TB, d *demonstrator.Deployment, version uint64) time.Duration {
	tb.Helper()
	started := time.Now()
	for _, deployed := range d.Nodes() {
		for deployed.Node.Status().DocumentVersion < version {
			if time.Since(started) > activationBound {
				tb.Fatalf("%s has version %d after %s", deployed.Spec.Name, deployed.Node.Status().DocumentVersion, activationBound)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(started)
}

// BenchmarkActivation measures the time from a change's acceptance until it is in force at 40 nodes, 5 of which have
// disks.
func BenchmarkActivation(b *testing.B) {
	const count, replicas = 40, 5
	d, err := demonstrator.NewDeployment(nil)
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	for i := range count {
		spec := demonstrator.NodeSpec{DataCentre: fmt.Sprintf("dc%d", i%7), Name: fmt.Sprintf("n%d", i)}
		if i < replicas {
			spec.DataFolder = b.TempDir()
		}
		addNode(b, d, spec)
	}
	for len(d.Node(count-1).Node.Status().Members) < count {
		time.Sleep(10 * time.Millisecond)
	}
	putDocument(b, d, d.Node(count-1), 0, "first")
	awaitVersion(b, d, 1)
	var worst time.Duration
	b.ResetTimer()
	for version := uint64(1); version <= uint64(b.N); version++ {
		putDocument(b, d, d.Node(int(version)%count), version, fmt.Sprintf("c%d", version))
		worst = max(worst, awaitVersion(b, d, version+1))
	}
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
}
