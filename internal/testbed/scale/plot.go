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

// Plot writes a PNG with the processor time, memory and traffic of each role: in the upper panels against the number of
// workers of an idle fleet, in the lower ones against the start rate of the largest fleet. Errors are of kind Invalid,
// if rows is empty, Internal or Disk.
func Plot(path string, rows []Row) error {
	largest := 0
	for _, r := range rows {
		largest = max(largest, r.Workers)
	}
	if largest == 0 {
		return errs.New(errs.Invalid, "no rows to plot")
	}
	isLoaded := func(r Row) bool {
		return r.Workers == largest && r.Offered > 0 && !strings.HasPrefix(r.Note, fillNote)
	}
	var tiles [][]*plot.Plot
	for _, group := range []struct {
		label     string
		isPlotted func(Row) bool
		xValue    func(Row) float64
	}{
		{"minions, idle", Row.IsIdle, func(r Row) float64 { return float64(r.Workers) }},
		{"starts per second", isLoaded, func(r Row) float64 { return r.Starts }},
	} {
		panels, err := panelRow(rows, group.label, group.isPlotted, group.xValue)
		if err != nil {
			return errs.Pass(err, "draw")
		}
		tiles = append(tiles, panels)
	}
	return errs.Pass(writeTiles(path, tiles), "draw")
}

// panelRow returns a row of panels, one for each kind of cost, for the rows for which isPlotted is true.
func panelRow(rows []Row, label string, isPlotted func(Row) bool, x func(Row) float64) ([]*plot.Plot, error) {
	var panels []*plot.Plot
	for _, cost := range []struct {
		label string
		y     func(Row) float64
	}{
		{"% of a core", func(r Row) float64 { return r.CPU }},
		{"MB resident", func(r Row) float64 { return r.MB }},
		{"KB per second", func(r Row) float64 { return r.SocketKB }},
	} {
		p, err := newPanel(rows, isPlotted, x, cost.y)
		if err != nil {
			return nil, errs.Pass(err, "%s", cost.label)
		}
		p.X.Label.Text, p.Y.Label.Text = label, cost.label
		panels = append(panels, p)
	}
	return panels, nil
}

// writeTiles writes all panels to one PNG file.
func writeTiles(path string, tiles [][]*plot.Plot) error {
	img := vgimg.New(33*vg.Centimeter, 20*vg.Centimeter)
	pad := vg.Points(8)
	grid := draw.Tiles{Rows: len(tiles), Cols: len(tiles[0]), PadX: pad, PadY: pad, PadTop: pad, PadBottom: pad,
		PadLeft: pad, PadRight: pad}
	for row, canvases := range plot.Align(tiles, grid, draw.New(img)) {
		for column, canvas := range canvases {
			tiles[row][column].Draw(canvas)
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

// newPanel returns a panel that plots y against x for each role.
func newPanel(rows []Row, isPlotted func(Row) bool, x, y func(Row) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Min, p.X.Min = 0, 0
	for i, role := range Roles {
		var points plotter.XYs
		for _, r := range rows {
			if r.Role == role && isPlotted(r) {
				points = append(points, plotter.XY{X: x(r), Y: y(r)})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, scatter, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, errs.Wrap(err, errs.Internal, "%s", role)
		}
		line.Color, scatter.Color, scatter.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, scatter)
		p.Legend.Add(role, line, scatter)
	}
	return p, nil
}
