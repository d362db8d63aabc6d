package errs

import (
	"errors"
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestReplyOf_everyKind(t *testing.T) {
	Convey("Every kind has a response, with a retry time if and only if the call may be sent again", t, func() {
		So(Kinds(), ShouldHaveLength, 17)
		for _, k := range Kinds() {
			r := ReplyOf(k)
			So(http.StatusText(r.Status), ShouldNotBeBlank)
			So(r.Retryable, ShouldEqual, r.RetryAfter > 0)
		}
		So(ReplyOf("odd"), ShouldResemble, ReplyOf(Internal))
	})
}

func TestOf_wrappedErrors(t *testing.T) {
	Convey("An error keeps its kind, field and cause through every wrap", t, func() {
		err := Pass(Wrap(io.EOF, Torn, "record %d", 7), "open")
		So(KindOf(err), ShouldEqual, Torn)
		So(errors.Is(err, io.EOF), ShouldBeTrue)
		So(Of(err).Error(), ShouldEqual, "torn: record 7: EOF")
		So(KindOf(Wrap(err, Disk, "again")), ShouldEqual, Disk) // the outermost kind counts
		So(Of(Field(Invalid, "steps[0].tasks", "is %d", 0)).Field, ShouldEqual, "steps[0].tasks")
		So(KindOf(io.EOF), ShouldEqual, Internal)
		So(Wrap(nil, Disk, "x"), ShouldBeNil)
		So(Pass(nil, "x"), ShouldBeNil)
		So(Is(nil, Internal), ShouldBeFalse)
	})
}
