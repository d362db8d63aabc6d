package store

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/internalapi"
	"crosstide/internal/raft"
)

// chunkNet answers the calls for chunks of a snapshot one after the other.
type chunkNet struct {
	Net
	answers []func() (internalapi.ChunkAnswer, error)
}

// FetchChunk implements Net.
func (n *chunkNet) FetchChunk(context.Context, string, internalapi.ChunkCall) (internalapi.ChunkAnswer, error) {
	answer := n.answers[0]
	n.answers = n.answers[1:]
	return answer()
}

// instantClock is a clock on which no time passes and every timer has expired.
type instantClock struct{ clock.Virtual }

// Set implements clock.Clock.
func (c *instantClock) Set(_ time.Duration, fn func()) clock.Stopper {
	fn()
	return c.Virtual.Set(0, func() {})
}

func TestDownload_changesAtTheLastAttempt(t *testing.T) {
	Convey("A download whose last attempt finds another snapshot fails; it returns no snapshot and must not panic", t,
		func() {
			part := func(number uint64) func() (internalapi.ChunkAnswer, error) {
				return func() (internalapi.ChunkAnswer, error) {
					return internalapi.ChunkAnswer{
						Snapshot: internalapi.Snapshot{Number: number, Size: 2}, Data: []byte("x")}, nil
				}
			}
			failure := func() (internalapi.ChunkAnswer, error) {
				return internalapi.ChunkAnswer{}, errs.New(errs.Unavailable, "on purpose")
			}
			net := &chunkNet{answers: []func() (internalapi.ChunkAnswer, error){part(1)}}
			for range maxDownloadAttempts - 1 {
				net.answers = append(net.answers, failure)
			}
			net.answers = append(net.answers, part(2))
			s := &Store{opt: Options{Net: net}, clock: &instantClock{}}
			fetched, err := s.download(context.Background(), raft.FetchSnapshot{From: "peer"})
			So(fetched, ShouldBeNil)
			So(errs.KindOf(err), ShouldEqual, errs.Stale)
		})
}
