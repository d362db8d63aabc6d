package scale

import (
	"os"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"crosstide/internal/errs"
)

// Plot writes a PNG of processor time, memory and traffic of each role: above against minions at idle, below against
// starts a second at the largest fleet. Faults: Invalid (no rows), Internal, Disk.
func Plot(path string, rows []Row) error {
	most := 0
	for _, r := range rows {
		most = max(most, r.Workers)
	}
	if most == 0 {
		return errs.New(errs.Invalid, "nothing to draw")
	}
	idle := func(r Row) bool { return r.Offered == 0 && r.Running == 0 }
	loaded := func(r Row) bool { return r.Workers == most && r.Offered > 0 && !strings.HasPrefix(r.Note, fillNote) }
	size := func(r Row) float64 { return float64(r.Workers) }
	rate := func(r Row) float64 { return r.Starts }
	var tiles [][]*plot.Plot
	for _, line := range []struct {
		x    string
		take func(Row) bool
		at   func(Row) float64
	}{{"minions, idle", idle, size}, {"starts a second", loaded, rate}} {
		var across []*plot.Plot
		for _, of := range []struct {
			y  string
			at func(Row) float64
		}{{"% of a core", func(r Row) float64 { return r.CPU }}, {"MB resident", func(r Row) float64 { return r.MB }},
			{"KB a second", func(r Row) float64 { return r.Net }}} {
			p, err := panel(rows, line.take, line.at, of.at)
			if err != nil {
				return errs.Pass(err, "draw %s", of.y)
			}
			p.X.Label.Text, p.Y.Label.Text = line.x, of.y
			across = append(across, p)
		}
		tiles = append(tiles, across)
	}
	img := vgimg.New(33*vg.Centimeter, 20*vg.Centimeter)
	pad := vg.Points(8)
	grid := draw.Tiles{Rows: 2, Cols: 3, PadX: pad, PadY: pad, PadTop: pad, PadBottom: pad, PadLeft: pad, PadRight: pad}
	for i, canvases := range plot.Align(tiles, grid, draw.New(img)) {
		for k, c := range canvases {
			tiles[i][k].Draw(c)
		}
	}
	file, err := os.Create(path)
	if err != nil {
		return errs.Wrap(err, errs.Disk, "create %s", path)
	}
	defer file.Close()
	_, err = vgimg.PngCanvas{Canvas: img}.WriteTo(file)
	return errs.Wrap(err, errs.Disk, "write %s", path)
}

func panel(rows []Row, take func(Row) bool, x, y func(Row) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Min, p.X.Min = 0, 0
	for i, role := range Roles {
		var at plotter.XYs
		for _, r := range rows {
			if r.Role == role && take(r) {
				at = append(at, plotter.XY{X: x(r), Y: y(r)})
			}
		}
		if len(at) == 0 {
			continue
		}
		line, points, err := plotter.NewLinePoints(at)
		if err != nil {
			return nil, errs.Wrap(err, errs.Internal, "%s", role)
		}
		line.Color, points.Color, points.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(role, line, points)
	}
	return p, nil
}
