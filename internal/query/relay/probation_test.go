package relay_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirestair/samphirestair/internal/base/coll"
	"github.com/samphirestair/samphirestair/internal/base/ident"
	"github.com/samphirestair/samphirestair/internal/query/choose"
	"github.com/samphirestair/samphirestair/internal/query/relay"
)

var ended = relay.Reply{Kind: relay.Ambiguous, Gone: true, Ended: true, Sample: choose.Sample{Refused: true}}

// lost is the reply to an attempt whose connection was closed, if nothing tells yet whether the
// server ended.
var lost = relay.Reply{Kind: relay.Ambiguous, Sample: choose.Sample{Refused: true}}

// reply passes the reply to an attempt on and returns what is to be sent then.
func reply(q *relay.Query, now time.Time, s relay.Send, r relay.Reply) []relay.Send {
	sends, _ := q.HandleReply(now, s.Shard, s.Attempt, r)
	return sends
}

// Guards against a search that ends all servers of its shards: retries and hedges would send
// it to the second server of each shard as well.
func TestSearchThatEndsItsServersIsSentOnce(t *testing.T) {
	c := newCluster(t, 6, 100)
	q, sends := relay.New(c.env, requestTo(searchRoute(6, 0.5)), start)
	require.Len(t, sends, 6)
	require.Empty(t, q.Tick(after(41)), "no shard has answered")
	for _, s := range sends {
		require.Empty(t, reply(q, after(50), s, ended))
	}
	got := outcome(t, q)
	require.Equal(t, relay.Failed, got.Verdict)
	require.Equal(t, "backend servers ended while they ran it", got.Reason)
	require.True(t, q.EndsServers())
	require.Len(t, c.env.Health.Down(), 6, "ended servers get no more requests")
}

// Guards against a search that ends the second server of each shard, too, because the ends of the
// first ones are told only after the results of the attempts, as behind slow proxies.
func TestSearchWhoseServersMayHaveEndedIsSentToOneMore(t *testing.T) {
	c := newCluster(t, 6, 100)
	q, sends := relay.New(c.env, requestTo(searchRoute(6, 0.5)), start)
	var again []relay.Send
	for _, s := range sends {
		again = append(again, reply(q, after(50), s, lost)...)
	}
	require.Len(t, again, 1, "one server shows whether the request is harmless")
	others := reply(q, after(55), again[0], served)
	require.Len(t, others, 5)
	for _, s := range others {
		reply(q, after(60), s, served)
	}
	require.Equal(t, relay.Success, outcome(t, q).Verdict)
	require.Zero(t, outcome(t, q).Missing)

	suspect := false
	request := requestTo(searchRoute(6, 0.5))
	request.Suspect = func() bool { return suspect }
	c = newCluster(t, 6, 100)
	q, sends = relay.New(c.env, request, start)
	for _, s := range sends {
		reply(q, after(50), s, lost)
	}
	suspect = true
	require.Empty(t, q.Tick(after(70)))
	require.Equal(t, relay.Failed, outcome(t, q).Verdict, "the ends were told meanwhile")
}

// Guards against lost answers of a harmless search that delay their shards: any other answer shows
// that the request is harmless.
func TestLostPartIsSentAgainOnceAnotherShardHasAnswered(t *testing.T) {
	c := newCluster(t, 6, 100)
	q, sends := relay.New(c.env, requestTo(searchRoute(6, 1)), start)
	require.Empty(t, reply(q, after(5), sends[0], lost), "no shard has answered yet")
	again := reply(q, after(6), sends[1], served)
	require.Len(t, again, 1)
	require.Equal(t, sends[0].Shard, again[0].Shard)
	require.Len(t, reply(q, after(7), sends[2], lost), 1, "it was answered before")
}

// Guards against a request that is given up because it only ran where a server ended.
func TestShardWhoseServerEndedIsSentAgainOnceAnotherHasAnswered(t *testing.T) {
	c := newCluster(t, 6, 100)
	q, sends := relay.New(c.env, requestTo(searchRoute(6, 1)), start)
	require.Empty(t, reply(q, after(5), sends[0], ended), "no shard has answered yet")
	again := reply(q, after(9), sends[1], served)
	require.Len(t, again, 1)
	require.Equal(t, sends[0].Shard, again[0].Shard)
	require.NotEqual(t, sends[0].Replica.ID, again[0].Replica.ID)
	require.Len(t, reply(q, after(10), sends[2], ended), 1, "it was answered before")
	require.True(t, q.Cleared())
	require.False(t, q.EndsServers())
}

// Guards against lookups that are lost because the server that ran them ended, and against
// lookups that end one server after the other.
func TestLookupWhoseServerEndedIsSentToOneMore(t *testing.T) {
	c := newCluster(t, 1, 100)
	q, sends := relay.New(c.env, requestTo(lookupRoute(true)), start)
	again := reply(q, after(30), sends[0], ended)
	require.Len(t, again, 1)
	require.Empty(t, reply(q, after(60), again[0], ended))
	require.Equal(t, relay.Failed, outcome(t, q).Verdict)

	request := requestTo(lookupRoute(true))
	request.Ends = 1
	c = newCluster(t, 1, 100)
	q, sends = relay.New(c.env, request, start)
	require.Empty(t, reply(q, after(30), sends[0], ended), "a repeat has ended another server")
	require.Equal(t, relay.Failed, outcome(t, q).Verdict)
}

func TestTrialOfASearchGoesToOneServerFirst(t *testing.T) {
	request := requestTo(searchRoute(6, 0.5))
	request.Trial, request.Ends = true, 2
	c := newCluster(t, 6, 100)
	q, sends := relay.New(c.env, request, start)
	require.Len(t, sends, 1)
	require.Empty(t, q.Tick(after(90)), "trials are not hedged")
	others := reply(q, after(95), sends[0], served)
	require.Len(t, others, 5)
	for _, s := range others {
		require.Equal(t, "first", s.Reason)
		reply(q, after(100), s, served)
	}
	require.Equal(t, relay.Success, outcome(t, q).Verdict)

	c = newCluster(t, 6, 100)
	q, sends = relay.New(c.env, request, start)
	require.Empty(t, reply(q, after(40), sends[0], ended))
	require.Equal(t, relay.Failed, outcome(t, q).Verdict)
}

// A trial that ends the last server of a shard costs more than one that leaves another.
func TestTrialPrefersShardsThatKeepAServer(t *testing.T) {
	request := requestTo(searchRoute(6, 0.5))
	request.Trial, request.Ends = true, 2
	for range 20 {
		c := newCluster(t, 6, 100)
		for i := range 5 {
			c.env.Health.Gone(ident.ServerID(string(shardName(i)) + "a"))
		}
		_, sends := relay.New(c.env, request, start)
		require.Len(t, sends, 1)
		require.Equal(t, 5, sends[0].Shard)
	}
}

// Guards against trials that prove nothing, because the server that ends ran other requests, or
// may have ended before.
func TestTrialGoesToTheServerWhoseEndSaysMost(t *testing.T) {
	request := requestTo(lookupRoute(true))
	request.Trial, request.Ends = true, 2
	for name, loads := range map[string]map[ident.ServerID]int{
		"idle": {"a": 3, "b": 0}, "certain": {"b": 4},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				c := newCluster(t, 1, 100)
				c.env.TrialLoad = func(server ident.ServerID) (int, bool) {
					requests, certain := loads[server[len(server)-1:]]
					return requests, certain
				}
				_, sends := relay.New(c.env, request, start)
				require.Len(t, sends, 1)
				require.Equal(t, ident.ServerID("b"), sends[0].Replica.ID[len(sends[0].Replica.ID)-1:])
				require.False(t, sends[0].Delegated)
			}
		})
	}
}

// Guards against trials of a search at servers whose end proves nothing, while others would do.
func TestTrialOfASearchPrefersCertainShards(t *testing.T) {
	request := requestTo(searchRoute(6, 0.5))
	request.Trial, request.Ends = true, 2
	for range 20 {
		c := newCluster(t, 6, 100)
		certain := coll.NewSet[ident.ServerID](ident.ServerID(string(shardName(2))+"b"), ident.ServerID(string(shardName(4))+"b"))
		c.env.TrialLoad = func(server ident.ServerID) (int, bool) { return 0, certain.Has(server) }
		c.env.Health.Gone(ident.ServerID(string(shardName(4)) + "a"))
		_, sends := relay.New(c.env, request, start)
		require.Len(t, sends, 1)
		require.Equal(t, 2, sends[0].Shard, "the shard that keeps a server")
		require.Equal(t, ident.ServerID(string(shardName(2))+"b"), sends[0].Replica.ID)
	}
}

// Guards against trials of a search that end servers one after the other and prove nothing.
func TestSearchIsTriedWhereTheEndTells(t *testing.T) {
	request := requestTo(searchRoute(6, 0.5))
	request.Trial, request.Ends, request.LastEnd = true, 2, start.Add(-time.Second)
	c := newCluster(t, 6, 100)
	certain := coll.NewSet[ident.ServerID]()
	c.env.TrialLoad = func(server ident.ServerID) (int, bool) { return 0, certain.Has(server) }
	q, sends := relay.New(c.env, request, start)
	require.Empty(t, sends)
	require.Equal(t, relay.Refused, outcome(t, q).Verdict)
	certain.Add(ident.ServerID(string(shardName(2)) + "b"))
	_, sends = relay.New(c.env, request, start)
	require.Len(t, sends, 1)
	certain.Remove(ident.ServerID(string(shardName(2)) + "b"))
	request.LastEnd = start.Add(-time.Minute)
	_, sends = relay.New(c.env, request, start)
	require.Len(t, sends, 1, "the end of a server is the only way to learn")
}

// Guards against harmless requests that are refused for long after all servers have ended: no
// server has answered since, and none can while all requests wait for one that has.
func TestTrustedRequestIsTriedWhereNothingTells(t *testing.T) {
	for name, info := range map[string]relay.RequestInfo{"search": requestTo(searchRoute(6, 0.5)), "lookup": requestTo(lookupRoute(true))} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 6, 100)
			c.env.TrialLoad = func(ident.ServerID) (int, bool) { return 0, false }
			info.Trial, info.Ends, info.LastEnd, info.Trusted = true, 4, start.Add(-2*time.Second), true
			_, sends := relay.New(c.env, info, start)
			require.Len(t, sends, 1)

			info.LastEnd = start.Add(-time.Second / 2)
			q, sends := relay.New(c.env, info, start)
			require.Empty(t, sends, "at most one server a second may end without telling anything")
			require.Equal(t, relay.Refused, outcome(t, q).Verdict)
			info.LastEnd, info.Trusted = start.Add(-2*time.Second), false
			_, sends = relay.New(c.env, info, start)
			require.Empty(t, sends, "no server has answered it")
		})
	}
}

// Guards against trials of a lookup that end servers and prove nothing.
func TestLookupIsTriedWhereTheEndTells(t *testing.T) {
	request := requestTo(lookupRoute(true))
	request.Trial, request.Ends, request.LastEnd = true, 2, start.Add(-time.Second)
	c := newCluster(t, 1, 100)
	certain := false
	c.env.TrialLoad = func(ident.ServerID) (int, bool) { return 0, certain }
	q, sends := relay.New(c.env, request, start)
	require.Empty(t, sends)
	require.Equal(t, relay.Refused, outcome(t, q).Verdict)
	certain = true
	_, sends = relay.New(c.env, request, start)
	require.Len(t, sends, 1)
	certain, request.LastEnd = false, start.Add(-time.Minute)
	_, sends = relay.New(c.env, request, start)
	require.Len(t, sends, 1)
}

// Guards against a request that leaves its service without servers although it is known to end them.
func TestLookupIsNotTriedAtTheLastServer(t *testing.T) {
	request := requestTo(lookupRoute(true))
	request.Trial, request.Ends, request.LastEnd = true, 2, start.Add(-time.Second)
	c := newCluster(t, 1, 100)
	c.env.Health.Gone(ident.ServerID(string(shardName(0)) + "a"))
	q, sends := relay.New(c.env, request, start)
	require.Empty(t, sends)
	require.Equal(t, relay.Refused, outcome(t, q).Verdict)

	c.env.Health.Responded(ident.ServerID(string(shardName(0)) + "a"))
	_, sends = relay.New(c.env, request, start)
	require.Len(t, sends, 1, "two servers are up")

	c.env.Health.Gone(ident.ServerID(string(shardName(0)) + "a"))
	request.LastEnd = start.Add(-time.Minute)
	_, sends = relay.New(c.env, request, start)
	require.Len(t, sends, 1, "the other server does not come back")
}

// Guards against a trial at the last server of a service whose other servers have ended behind proxies:
// these accept connections, so that the servers seem to be up.
func TestLookupIsTriedOnlyIfAnotherServerIsKnownToLive(t *testing.T) {
	request := requestTo(lookupRoute(true))
	request.Trial, request.Ends, request.LastEnd = true, 2, start.Add(-2*time.Second)
	c := newCluster(t, 1, 100)
	alive := 1
	c.env.TrialLoad = func(id ident.ServerID) (int, bool) { return 0, alive == 2 || strings.HasSuffix(string(id), "a") }
	q, sends := relay.New(c.env, request, start)
	require.Empty(t, sends)
	require.Equal(t, relay.Refused, outcome(t, q).Verdict)
	alive = 2
	_, sends = relay.New(c.env, request, start)
	require.Len(t, sends, 1)
}

// Guards against a trial that ends a second server because nothing tells whether the first one did.
func TestTrialWithoutAnAnswerIsNotSentToAnotherServer(t *testing.T) {
	request := requestTo(lookupRoute(true))
	request.Trial, request.Ends = true, 2
	c := newCluster(t, 1, 100)
	q, sends := relay.New(c.env, request, start)
	require.Empty(t, reply(q, after(30), sends[0], relay.Reply{Kind: relay.Ambiguous, Gone: true, Sample: choose.Sample{Refused: true}}))
	require.Equal(t, relay.Failed, outcome(t, q).Verdict)
}

// A trial that did not run goes on with another shard.
func TestTrialThatDidNotRunGoesOnElsewhere(t *testing.T) {
	request := requestTo(searchRoute(6, 0.5))
	request.Trial, request.Ends = true, 2
	c := newCluster(t, 6, 100)
	q, sends := relay.New(c.env, request, start)
	second := reply(q, after(3), sends[0], relay.Reply{Kind: relay.Unreachable, Sample: choose.Sample{Refused: true}})
	require.Len(t, second, 1)
	require.NotEqual(t, sends[0].Shard, second[0].Shard)
	require.Len(t, reply(q, after(15), second[0], served), 5)
}

// While no shard has answered, the request is probably slow rather than the servers, but the
// servers of a whole zone may be silent too.
func TestSearchThatNoShardHasAnsweredIsHedgedLate(t *testing.T) {
	c := newCluster(t, 6, 100)
	q, _ := relay.New(c.env, requestTo(searchRoute(6, 1)), start)
	require.Empty(t, q.Tick(after(41)))
	next := q.Next()
	require.True(t, next.After(after(41)), "%v", next)
	require.Len(t, q.Tick(next), 6)
}

// Guards against servers that are ended by requests which are under way when another VM finds
// out that their repeats end servers.
func TestSearchIsGivenUpIfItsRepeatsEndServersElsewhere(t *testing.T) {
	request := requestTo(searchRoute(6, 0.5))
	suspect := false
	request.Suspect = func() bool { return suspect }
	c := newCluster(t, 6, 100)
	unanswered, _ := relay.New(c.env, request, start)
	require.Empty(t, unanswered.Tick(unanswered.Next()))
	_, decided := unanswered.Outcome()
	require.False(t, decided)
	suspect = true
	require.Empty(t, unanswered.Tick(unanswered.Next()))
	require.Equal(t, relay.Failed, outcome(t, unanswered).Verdict)

	c = newCluster(t, 6, 100)
	q, sends := relay.New(c.env, request, start)
	reply(q, after(9), sends[0], served)
	for q.Next().Before(after(80)) {
		q.Tick(q.Next())
	}
	_, decided = q.Outcome()
	require.False(t, decided, "a server has answered it")
}

// The harm must show soon: a search has to be given up long before its deadline.
func TestSearchThatEndsServersIsGivenUpBeforeTheOthersAnswer(t *testing.T) {
	c := newCluster(t, 6, 100)
	q, sends := relay.New(c.env, requestTo(searchRoute(6, 0.5)), start)
	for _, s := range sends[:3] {
		reply(q, after(20), s, ended)
	}
	require.Less(t, q.Next().Sub(start), 100*time.Millisecond)
	q.Tick(q.Next())
	require.Equal(t, relay.Failed, outcome(t, q).Verdict)
}
