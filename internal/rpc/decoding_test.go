package rpc

import (
	"context"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

// decodingProcessBytes is the memory of the process in these tests: enough that large documents wait.
const decodingProcessBytes = 64 << 20

func TestMemoryBudget_decoding(t *testing.T) {
	document := func(values int) []byte { return []byte("[" + strings.Repeat("0,", values-1) + "0]") }
	Convey("Large documents wait for each other, small ones never", t, func() {
		budget := NewMemoryBudget(decodingProcessBytes)
		most := int(budget.decodingLimit/valueBytes) / 2
		release, err := budget.acquireDecoding(ctx, document(most+most/2))
		So(err, ShouldBeNil)
		_, err = budget.acquireDecoding(ctx, document(10))
		So(err, ShouldBeNil)
		group := routine.New(ctx)
		acquired := make(chan struct{})
		group.Go(func(ctx context.Context) {
			if second, err := budget.acquireDecoding(ctx, document(10_000)); err == nil {
				second()
			}
			close(acquired)
		})
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		_, err = budget.acquireDecoding(cancelled, document(10_000))
		So(errs.KindOf(err), ShouldEqual, errs.Unavailable)
		select {
		case <-acquired:
			So("a second large document", ShouldEqual, "waiting")
		default:
		}
		release()
		<-acquired
		group.Wait()
	})
	Convey("A document beyond the capacity is decoded alone, one of twice the capacity never", t, func() {
		budget := NewMemoryBudget(decodingProcessBytes)
		most := int(budget.decodingLimit / valueBytes)
		release, err := budget.acquireDecoding(ctx, document(most+most/2))
		So(err, ShouldBeNil)
		release()
		_, err = budget.acquireDecoding(ctx, document(2*most))
		So(errs.KindOf(err), ShouldEqual, errs.TooLarge)
	})
	Convey("Without a memory limit nothing waits", t, func() {
		var budget *MemoryBudget
		release, err := budget.acquireDecoding(ctx, document(1<<20))
		So(err, ShouldBeNil)
		release()
	})
}

func TestMemoryBudget_countValues(t *testing.T) {
	Convey("The number of values is never less than a decoder finds", t, func() {
		for text, least := range map[string]int64{"1": 1, "[]": 1, "[1,2]": 3, `{"a":1,"b":[{}]}`: 4, `[[],[]]`: 3} {
			So(countValues([]byte(text)), ShouldBeGreaterThanOrEqualTo, least)
		}
	})
}
