package pool_test

import (
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/budget"
	"github.com/samphirestair/samphirestair/internal/lab/faulty"
	"github.com/samphirestair/samphirestair/internal/owner/pool"
	"github.com/samphirestair/samphirestair/internal/plat/header"
)

// Guards against a backend server that counts as silent, and is taken out of use, because this
// process has no memory for its long answers, and against memory that is not given back.
func TestLongAnswerWaitsForMemory(t *testing.T) {
	const size = 2 * budget.SmallSize
	address, _ := faulty.Serve(t, func(head string) string { return reply(requestID(head), strings.Repeat("x", size)) })
	memory := budget.New(size)
	p := pool.New(metrics.NewSet(), pool.Options{Names: header.Default(), Budget: memory})
	target := pool.Target{ID: "i-1", Address: address, Connections: 4}
	first := send(t, p, target, "r1", nil)
	require.True(t, first.IsBodyOwned())
	require.Equal(t, size, memory.Held(budget.Answer))

	results := make(chan pool.Result, 1)
	call := p.Send(target, messageOf("r2", nil), time.Now().Add(300*time.Millisecond), false, func(r pool.Result) { results <- r })
	time.AfterFunc(100*time.Millisecond, call.Cancel)
	second := await(t, results)
	require.Equal(t, pool.Broken, second.Outcome)
	require.False(t, second.Cancelled, "the server was not silent")
	require.False(t, second.Ended || second.MayHaveEnded)

	waiting := make(chan pool.Result, 1)
	p.Send(target, messageOf("r3", nil), time.Now().Add(5*time.Second), false, func(r pool.Result) { waiting <- r })
	body := first.Response.Body()
	first.Release()
	third := await(t, waiting)
	require.Equal(t, pool.Answered, third.Outcome)
	require.Equal(t, strings.Repeat("x", size), string(body), "it stays valid after Release")
	third.Release()
	require.Zero(t, memory.Held(budget.Answer))
}
