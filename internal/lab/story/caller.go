package story

import (
	"context"
	"fmt"
	"time"

	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/engine"
	"github.com/samphirestair/samphirestair/internal/query/entry"
)

// callerLatency is the one-way latency between callers and VMs.
const callerLatency = 500 * time.Microsecond

// Search sends a search to a VM with the given deadline and returns the result.
// A zero time left stands for the deadline of the service's document.
func (f *Fleet) Search(vm ident.VMID, left time.Duration) entry.Result {
	if left == 0 {
		left = deadline
	}
	f.Transcript.Logf("caller", "asks %s: search %s within %s", vm, Service, left)
	request := entry.Request{Service: Service, Limit: 5, Deadline: time.Now().Add(left)}
	return f.call(func() entry.Result { return f.VMs[vm].Entry.Search(context.Background(), request) })
}

// Book sends the action "book" to a VM with the given idempotency key.
func (f *Fleet) Book(vm ident.VMID, key string) entry.Result {
	f.Transcript.Logf("caller", "asks %s: \"book\" within %s", vm, deadline)
	request := entry.Request{
		Service: Service, Action: "book", Key: key, Route: "flat-7", Deadline: time.Now().Add(deadline),
	}
	return f.call(func() entry.Result { return f.VMs[vm].Entry.Action(context.Background(), request) })
}

// WarmUp sends count searches to a VM, one after another.
func (f *Fleet) WarmUp(vm ident.VMID, count int) {
	for range count {
		f.Search(vm, 0)
	}
}

// call runs a request, delays it by the latency each way and logs the result.
func (f *Fleet) call(do func() entry.Result) entry.Result {
	time.Sleep(callerLatency)
	result := do()
	time.Sleep(callerLatency)
	f.Transcript.Logf("caller", "gets %s", resultText(result))
	return result
}

func resultText(result entry.Result) string {
	text := fmt.Sprintf("%q", result.Outcome)
	if result.TotalShards > 0 && result.Outcome != engine.OutcomeDone {
		text += fmt.Sprintf(": %d of %d shards of version %d", result.AnsweredShards, result.TotalShards, result.Version)
	}
	for _, hit := range result.Hits {
		text += ", " + hit.ID
	}
	if len(result.Body) > 0 {
		text += ": " + string(result.Body)
	}
	if result.Reason != "" {
		text += ", because: " + result.Reason
	}
	if result.RetryAfter > 0 {
		text += ", come back after " + result.RetryAfter.String()
	}
	return text
}
