package signature

import (
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/errs"
)

func TestKey_file(t *testing.T) {
	Convey("A key is the same after Save and Load, and Save does not overwrite a file", t, func() {
		key, err := New("ada")
		So(err, ShouldBeNil)
		path := filepath.Join(t.TempDir(), "ada.json")
		So(key.Save(path), ShouldBeNil)
		So(errs.KindOf(key.Save(path)), ShouldEqual, errs.Disk)
		loaded, err := Load(path)
		So(err, ShouldBeNil)
		So(loaded, ShouldResemble, key)
		sig := loaded.Sign(Bundle(2, "d"))
		So(Verify(key.Public(), Bundle(2, "d"), sig), ShouldBeTrue)
		So(Verify(key.Public(), Bundle(3, "d"), sig), ShouldBeFalse)
	})
}
