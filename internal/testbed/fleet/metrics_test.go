package fleet

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
	"crosstide/internal/rpc"
)

// serveText starts a server that answers every call with a status and a text.
func serveText(status int, text string) (addr string) {
	server := rpc.NewServer(rpc.ServerOptions{Addr: "127.0.0.1:0"})
	server.Route("/", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(text))
	})
	So(server.Start(), ShouldBeNil)
	Reset(func() { So(server.Stop(time.Minute), ShouldBeNil) })
	return server.Addr()
}

func TestScrape(t *testing.T) {
	scrape := func(status int, text string) (Metrics, int, error) {
		return Scrape(context.Background(), NewCaller(1), serveText(status, text))
	}
	Convey("Metrics are read with their labels; a histogram becomes its sum and its count", t, func() {
		text := "# TYPE calls counter\ncalls{path=\"/a\",code=\"200\"} 3\ncalls{path=\"/b\",code=\"200\"} 4\n" +
			"# TYPE calls_open gauge\ncalls_open 9\n" +
			"# TYPE sync histogram\nsync_bucket{le=\"+Inf\"} 2\nsync_sum 0.5\nsync_count 2\n"
		metrics, size, err := scrape(http.StatusOK, text)
		So(err, ShouldBeNil)
		So(size, ShouldEqual, len(text))
		So([]float64{metrics.Sum("calls"), metrics.Sum("calls_open"), metrics.Sum("none")}, ShouldResemble,
			[]float64{7, 9, 0})
		So([]float64{metrics.Sum("sync_sum"), metrics.Sum("sync_count")}, ShouldResemble, []float64{0.5, 2})
		labels := map[string]float64{}
		for text, value := range metrics.Series("calls") {
			labels[text] = value
		}
		So(labels, ShouldHaveLength, 2)
		So(labels[`code="200",path="/b"}`]+labels[`path="/b",code="200"}`], ShouldEqual, 4)
	})
	Convey("Scrape fails on an error status and on an answer that cannot be parsed", t, func() {
		_, _, err := scrape(http.StatusServiceUnavailable, "")
		So(errs.KindOf(err), ShouldEqual, errs.Malformed)
		_, _, err = scrape(http.StatusOK, "{")
		So(errs.KindOf(err), ShouldEqual, errs.Malformed)
	})
}

func TestReplyIsRefusal(t *testing.T) {
	Convey("Only a permanent refusal counts: not overload, not a node that cannot answer now", t, func() {
		for status, isRefusal := range map[int]bool{200: false, 202: false, 400: true, 404: true, 409: true, 421: false,
			422: true, 429: false, 500: false, 503: false} {
			So([]any{status, Reply{Status: status}.IsRefusal()}, ShouldResemble, []any{status, isRefusal})
		}
	})
}
