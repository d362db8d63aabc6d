package signature

import (
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestKey_file(t *testing.T) {
	Convey("A key survives its file, which is not written over, and signs what it signed", t, func() {
		key, err := New("ada")
		So(err, ShouldBeNil)
		path := filepath.Join(t.TempDir(), "ada.json")
		So(key.Save(path), ShouldBeNil)
		So(errs.KindOf(key.Save(path)), ShouldEqual, errs.Disk)
		back, err := Load(path)
		So(err, ShouldBeNil)
		So(back, ShouldResemble, key)
		sig := back.Sign(Bundle(2, "d"))
		So(Verify(key.Public(), Bundle(2, "d"), sig), ShouldBeTrue)
		So(Verify(key.Public(), Bundle(3, "d"), sig), ShouldBeFalse)
	})
}
