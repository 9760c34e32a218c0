package deleg_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"

	"github.com/samphirestair/samphirestair/internal/lab/faulty"
	"github.com/samphirestair/samphirestair/internal/link/deleg"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
)

// Guards against an invalid response that passes for a refusal, after which the
// attempts are sent again although they may have run, or for reports.
func TestInvalidResponsesMayHaveRun(t *testing.T) {
	for name, response := range faulty.Responses("", encodeReport(t, deleg.Outcome{Status: 200})) {
		t.Run(name, func(t *testing.T) {
			address, _ := faulty.Serve(t, func(string) string { return response })
			recorder := &callbackRecorder{ended: make(chan error, 1)}
			deleg.NewClient().Send(address, newOrder("a"), recorder.onReport, recorder.onEnd)
			require.Error(t, <-recorder.ended)
			require.Equal(t, pool.Broken, recorder.fate)
			require.Empty(t, recorder.reports)
		})
	}
}

// Guards against a status that delegates never send and that passes for a refusal.
func TestOnlyRefusalsMeanThatAnOrderWasNotExecuted(t *testing.T) {
	for status, fate := range map[string]pool.Outcome{"204": pool.Broken, "302": pool.Broken, "500": pool.Broken, "502": pool.Broken, "400": pool.Unsent, "503": pool.Unsent} {
		address, _ := faulty.Serve(t, func(string) string { return "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n" })
		recorder := &callbackRecorder{ended: make(chan error, 1)}
		deleg.NewClient().Send(address, newOrder("a"), recorder.onReport, recorder.onEnd)
		require.Error(t, <-recorder.ended, status)
		require.Equal(t, fate, recorder.fate, status)
	}
}

// Guards against an outcome that a delegate reports as answered without a valid status.
func TestOutcomesWithoutValidStatusAreBroken(t *testing.T) {
	for _, status := range []uint16{0, 1, 99, 101, 600, 1000} {
		body := encodeReport(t, deleg.Outcome{Status: status, Signature: "s", Alone: true, Records: record("r")})
		address, _ := faulty.Serve(t, func(string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		})
		recorder := &callbackRecorder{ended: make(chan error, 1)}
		deleg.NewClient().Send(address, newOrder("a"), recorder.onReport, recorder.onEnd)
		require.NoError(t, <-recorder.ended)
		require.Len(t, recorder.reports, 1)
		outcome := recorder.reports[0].Outcomes[0]
		require.Equal(t, uint8(pool.Broken), outcome.Fate, "status %d", status)
		require.Empty(t, outcome.Records)
	}
}

// Guards against a signature that no header may hold, which a delegate of an earlier version may have
// got from a backend server, and which is passed on to the caller. The records of that answer can't
// be told from those merged with them.
func TestOutcomesWithInvalidSignatureAreBroken(t *testing.T) {
	for _, signature := range []string{"s\x01", "s\r\nX-Trace: 1", "\x7f"} {
		report := &deleg.Report{Records: record("r"), Outcomes: []deleg.Outcome{
			{Seq: 0, Status: 200, Signature: "first"}, {Seq: 1, Status: 200, Signature: signature}, {Seq: 2, Status: 200, Signature: "last", Alone: true, Records: record("z")},
		}}
		body := encode(t, report)
		address, _ := faulty.Serve(t, func(string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		})
		recorder := &callbackRecorder{ended: make(chan error, 1)}
		deleg.NewClient().Send(address, newOrder("a", "b", "c"), recorder.onReport, recorder.onEnd)
		require.NoError(t, <-recorder.ended)
		require.Len(t, recorder.reports, 1)
		got := recorder.reports[0]
		require.Empty(t, got.Records)
		require.Equal(t, uint8(pool.Broken), got.Outcomes[0].Fate, "%q", signature)
		require.Equal(t, uint8(pool.Broken), got.Outcomes[1].Fate, "%q", signature)
		require.Equal(t, report.Outcomes[2], got.Outcomes[2])
	}
}

// encodeReport returns a report of one outcome.
func encodeReport(t *testing.T, outcome deleg.Outcome) string {
	t.Helper()
	return encode(t, &deleg.Report{Outcomes: []deleg.Outcome{outcome}})
}

func encode(t *testing.T, report *deleg.Report) string {
	t.Helper()
	var body bytes.Buffer
	w := msgp.NewWriter(&body)
	require.NoError(t, report.EncodeMsg(w))
	require.NoError(t, w.Flush())
	return body.String()
}
