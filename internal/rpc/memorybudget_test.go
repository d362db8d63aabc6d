package rpc

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"crosstide/internal/errs"
)

// processBytes is the memory of the process in the tests of the budget.
const processBytes = 4 << 20

// newShares returns a budget with a share of half of it and one of a quarter.
func newShares() (budget *MemoryBudget, half, quarter *MemoryShare) {
	budget = NewMemoryBudget(processBytes)
	half, err := budget.NewShare("half", 2)
	So(err, ShouldBeNil)
	quarter, err = budget.NewShare("quarter", 4)
	So(err, ShouldBeNil)
	return budget, half, quarter
}

func TestMemoryBudget_shares(t *testing.T) {
	Convey("A share can use unreserved bytes, and never those reserved for another share", t, func() {
		budget, half, quarter := newShares()
		const small, large = int64(1), int64(smallReservation + 1)
		limit := budget.limit
		smallPart := limit / smallDivisor
		So(half.reserve(limit-limit/4-smallPart, large), ShouldBeTrue)
		So(half.reserve(1, large), ShouldBeFalse)
		So(half.reserve(smallPart, small), ShouldBeTrue)
		So(half.reserve(1, small), ShouldBeFalse)
		So(quarter.reserve(limit/4, small), ShouldBeTrue)
		So(quarter.reserve(1, small), ShouldBeFalse)
		half.release(2)
		So(quarter.reserve(1, small), ShouldBeTrue)
		So(budget.Usage()[1], ShouldResemble,
			MemoryUsage{Name: "quarter", Used: limit/4 + 1, Reserved: limit / 4, Refused: 1})
		_, err := budget.NewShare("too large", 2)
		So(errs.Is(err, errs.Settings), ShouldBeTrue)
	})
	Convey("Large holdings leave room for small ones in each share", t, func() {
		_, half, quarter := newShares()
		const step = 1 << 10
		for isReserved := true; isReserved; {
			isReserved = half.reserve(step, smallReservation+1) || quarter.reserve(step, smallReservation+1)
		}
		So(half.reserve(step, step), ShouldBeTrue)
		So(quarter.reserve(step, step), ShouldBeTrue)
	})
	Convey("A process without a memory limit has no budget, and nothing is refused", t, func() {
		budget := NewMemoryBudget(0)
		share, err := budget.NewShare("any", 1)
		So(err, ShouldBeNil)
		So(share.reserve(1<<40, 1<<40), ShouldBeTrue)
		share.release(1 << 40)
		So(budget.Usage(), ShouldBeEmpty)
	})
}

// TestMemoryBudget_balance guards against a reservation that is never released: in the end all callers would be
// refused.
func TestMemoryBudget_balance(t *testing.T) {
	Convey("Nothing is reserved once all connections are closed, whatever callers have sent and read", t, func() {
		budget := NewMemoryBudget(processBytes)
		share, err := budget.NewShare("clients", 2)
		So(err, ShouldBeNil)
		s := newLimitedServer(t, ServerOptions{Memory: share})
		close(s.gate)
		rapid.Check(t, func(rt *rapid.T) {
			conns := s.sendRandom(rt)
			for _, c := range conns {
				_ = c.Close() // the server may have closed it
			}
			awaitUsed(rt, budget, 0)
		})
		So(s.Stop(time.Minute), ShouldBeNil)
	})
}

// sendRandom sends random requests, some of them beyond the limits, in random pieces on some connections, and reads some
// of the answers. It returns the connections, which may be open.
func (s *limitedServer) sendRandom(rt *rapid.T) (conns []net.Conn) {
	requests := []string{
		"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", "GET /long HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		headOf(testLimits.HeadBytes, "Content-Length: 100\r\n") + strings.Repeat("b", 100),
		headOf(200, "Transfer-Encoding: chunked\r\n") + inChunks(strings.Repeat("b", 500), 7),
		headOf(testLimits.HeadBytes+1, ""), headOf(200, "Content-Length: 5000\r\n") + strings.Repeat("b", 5000),
		"\r\n\r\n", "GET /wait HTTP/1.1\r\nHo", headOf(200, "Content-Length: 100\r\n"),
	}
	for range rapid.IntRange(1, 4).Draw(rt, "connections") {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			rt.Fatal(err)
		}
		conns = append(conns, c)
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(requests), 0, 8).Draw(rt, "requests"), "")
		for len(text) > 0 {
			n := rapid.IntRange(1, len(text)).Draw(rt, "piece")
			if _, err := io.WriteString(c, text[:n]); err != nil {
				break // the server has refused an earlier request
			}
			text = text[n:]
		}
		if rapid.Bool().Draw(rt, "read") {
			_ = c.SetReadDeadline(time.Now().Add(time.Millisecond)) // fails only on a closed connection
			_, _ = io.CopyN(io.Discard, c, 1000)                    // less may come
		}
	}
	return conns
}

// TestMemoryBudget_model compares the reservation for half a request with a model; the request is split at random.
func TestMemoryBudget_model(t *testing.T) {
	Convey("Half a request takes the memory of its bytes and lines, and of a request and a connection", t, func() {
		budget := NewMemoryBudget(processBytes)
		share, err := budget.NewShare("clients", 2)
		So(err, ShouldBeNil)
		s := newLimitedServer(t, ServerOptions{Memory: share})
		head := headOf(testLimits.HeadBytes, "Content-Length: 1000\r\n")
		whole := head + strings.Repeat("b", 1000)
		rapid.Check(t, func(rt *rapid.T) {
			text := whole[:rapid.IntRange(1, len(whole)-1).Draw(rt, "length")]
			expected := int64(connectionBytes + requestBytes + arrivalFactor*len(text) +
				headerLineBytes*strings.Count(text, "\n"))
			c, err := net.Dial("tcp", s.Addr())
			if err != nil {
				rt.Fatal(err)
			}
			for rest := text; len(rest) > 0; {
				n := rapid.IntRange(1, len(rest)).Draw(rt, "piece")
				if _, err := io.WriteString(c, rest[:n]); err != nil {
					rt.Fatal(err)
				}
				rest = rest[n:]
			}
			awaitUsed(rt, budget, expected)
			_ = c.Close() // its answer is of no interest
			awaitUsed(rt, budget, 0)
		})
		So(s.Stop(time.Minute), ShouldBeNil)
	})
}

// awaitUsed waits until a budget's first share has reserved a number of bytes.
func awaitUsed(t rapid.TB, budget *MemoryBudget, expected int64) {
	deadline := time.Now().Add(10 * time.Second)
	for used := budget.Usage()[0].Used; used != expected; used = budget.Usage()[0].Used {
		runtime.Gosched()
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are reserved, expected %d", used, expected)
		}
	}
}

func TestMemoryBudget_refusal(t *testing.T) {
	Convey("A request is refused with 503 while memory is short, and served afterwards", t, func() {
		budget := NewMemoryBudget(processBytes)
		share, err := budget.NewShare("clients", 2)
		So(err, ShouldBeNil)
		s := newLimitedServer(t, ServerOptions{Memory: share})
		taken := budget.limit - 2*connectionBytes
		So(share.reserve(taken, 0), ShouldBeTrue)
		body := strings.Repeat("b", 1000)
		request := fmt.Sprintf("POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		So(s.statuses(request, 1), ShouldResemble, []int{503})
		So(s.refusals("memory"), ShouldEqual, 1)
		share.release(taken)
		So(s.statuses(request, 1), ShouldResemble, []int{200})
		So(s.Stop(time.Minute), ShouldBeNil)
	})
}
