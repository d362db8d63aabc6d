package rpc

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/routine"
)

// slowValue counts how many of its kind are encoded at the same time.
type slowValue struct{ now, most *atomic.Int32 }

// MarshalJSON implements json.Marshaler.
func (v slowValue) MarshalJSON() ([]byte, error) {
	const yields = 1000
	now := v.now.Add(1)
	defer v.now.Add(-1)
	for most := v.most.Load(); now > most && !v.most.CompareAndSwap(most, now); most = v.most.Load() {
		runtime.Gosched()
	}
	for range yields {
		runtime.Gosched()
	}
	return []byte("{}"), nil
}

func TestWriteJSON_concurrency(t *testing.T) {
	Convey("Many long responses are not encoded at the same time, and all are written", t, func() {
		value := slowValue{now: &atomic.Int32{}, most: &atomic.Int32{}}
		group := routine.New(ctx)
		var written atomic.Int32
		for range 20 {
			group.Go(func(context.Context) {
				w := httptest.NewRecorder()
				WriteJSON(w, http.StatusOK, value)
				if w.Code == http.StatusOK && w.Body.String() == "{}\n" {
					written.Add(1)
				}
			})
		}
		group.Wait()
		So(written.Load(), ShouldEqual, 20)
		So(value.most.Load(), ShouldBeBetweenOrEqual, 1, maxEncodings)
	})
}
