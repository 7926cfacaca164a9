package scenario

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// These tests verify that each check detects the fault it is meant to find.

func answered(id, outcome, ran string, order bool) sample {
	return sample{id: id, order: order, status: 200, outcome: outcome, ran: ran, body: "b1 GET /x 0 " + id}
}

func TestCheckAnswersFindsDoubleRun(t *testing.T) {
	is := is.New(t)
	runs := []run{{Backend: "b1", RequestID: "1", Method: "POST"}, {Backend: "b2", RequestID: "1", Method: "POST"}}
	is.Equal(len(checkAnswers([]sample{answered("1", "ok", "ran", true)}, runs, nil)), 1)
}

func TestCheckAnswersFindsFalseRefusal(t *testing.T) {
	is := is.New(t)
	runs := []run{{Backend: "b1", RequestID: "1", Method: "POST"}}
	is.Equal(len(checkAnswers([]sample{answered("1", "overloaded", "not-run", true)}, runs, nil)), 1)
}

func TestCheckAnswersFindsWrongAnswer(t *testing.T) {
	is := is.New(t)
	s := answered("req-1", "ok", "ran", false)
	s.body = "b1 GET /x 0 req-2"
	is.Equal(len(checkAnswers([]sample{s}, []run{{RequestID: "req-1", Method: "GET"}}, nil)), 1)
}

func TestCheckAnswersFindsCutAnswer(t *testing.T) {
	is := is.New(t)
	for _, body := range []string{"b1 GET /x 0 req-", "b1 GET /x", "b1 GET /x 0 reHTTP/1.1 200 OK\r\n", "b1 GET /x 0 b1 GET /x 0 req-1"} {
		s := answered("req-1", "ok", "ran", false)
		s.body = body
		is.Equal(len(checkAnswers([]sample{s}, []run{{RequestID: "req-1", Method: "GET"}}, nil)), 1)
	}
}

func TestCheckAnswersFindsForwardedCallerKey(t *testing.T) {
	is := is.New(t)
	runs := []run{{RequestID: "1", Method: "GET", SawKey: true}}
	is.Equal(len(checkAnswers([]sample{answered("1", "ok", "ran", false)}, runs, nil)), 1)
}

func TestCheckOwnershipFindsTwoOwners(t *testing.T) {
	is := is.New(t)
	overlap := []run{
		{Backend: "b1", Shard: "3", Generation: "2", StartUS: 10, EndUS: 30},
		{Backend: "b2", Shard: "3", Generation: "3", StartUS: 20, EndUS: 40},
	}
	is.Equal(len(checkOwnership(overlap)), 1)
	shared := []run{
		{Backend: "b1", Shard: "3", Generation: "2", StartUS: 10, EndUS: 20},
		{Backend: "b2", Shard: "3", Generation: "2", StartUS: 30, EndUS: 40},
	}
	is.Equal(len(checkOwnership(shared)), 1)
	back := []run{
		{Backend: "b2", Shard: "3", Generation: "3", StartUS: 10, EndUS: 20},
		{Backend: "b1", Shard: "3", Generation: "2", StartUS: 30, EndUS: 40},
	}
	is.Equal(len(checkOwnership(back)), 1)
	is.Equal(len(checkOwnership([]run{back[1], {Backend: "b2", Shard: "3", Generation: "3", StartUS: 50, EndUS: 60}})), 0)
}

func TestLongestOutageFindsGapAndUnservedEnd(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	served := func(ms int) sample {
		s := answered("1", "ok", "ran", false)
		s.key, s.start, s.end = "k", at(ms), at(ms+1)
		return s
	}
	samples := []sample{served(0), served(3000)}
	is.Equal(longestOutage(samples, 50*time.Millisecond).duration, 2950*time.Millisecond)
	is.Equal(longestOutageUntil(samples, 0, at(9001)).duration, 6*time.Second)
}

func TestCheckRateLimitFindsExcess(t *testing.T) {
	is := is.New(t)
	var samples []sample
	var runs []run
	for i := range 20 {
		id := string(rune('a' + i))
		samples = append(samples, sample{id: id, start: time.UnixMicro(int64(1_000_000 + i))})
		runs = append(runs, run{RequestID: id, StartUS: int64(1_000_100 + i)})
	}
	is.True(checkRateLimit(samples, runs, 10, 5) != nil)
	is.NoErr(checkRateLimit(samples, runs, 10, 20))
	is.True(checkRateLimit(samples, nil, 10, 20) != nil) // an empty history must not pass
	repeated := append(slices.Clone(runs), runs...)      // a daemon sent each request again
	is.NoErr(checkRateLimit(samples, repeated, 10, 20))
	is.True(checkRateLimit(append(slices.Clone(samples), samples...), repeated, 10, 20) != nil) // their callers did
}

func TestCheckLimitFindsTooManyRequests(t *testing.T) {
	is := is.New(t)
	var starts []int64
	for i := range 29 { // 1.5 times 4 requests a second for 4 s, and 5 more
		starts = append(starts, int64(i)*100_000)
	}
	is.NoErr(checkLimit(starts, 4))
	is.True(checkLimit(append(starts, 3_999_999), 4) != nil)
	is.True(checkLimit(nil, 4) != nil)
}
