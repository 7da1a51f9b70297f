package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter

	colorsBeforeDashes = 6    // number of lines with the same dash pattern
	legendHeadroom     = 0.15 // share of the plot height that stays empty above the lines
)

var markColor = color.RGBA{R: 0xaa, G: 0x11, B: 0x11, A: 0x80}

// svg renders a plot.
func (p Plot) svg() (template.HTML, error) {
	drawing := plot.New()
	drawing.Title.Text = p.Title
	drawing.X.Label.Text = p.XLabel
	drawing.Y.Label.Text = p.YLabel
	drawing.Legend.Top = true
	drawing.Legend.XOffs = -vg.Points(12)
	drawing.Add(plotter.NewGrid())
	for i, line := range p.Lines {
		if err := addLine(drawing, i, line); err != nil {
			return "", fmt.Errorf("line %q: %w", line.Name, err)
		}
	}
	low, high := p.yRange()
	if err := addMarks(drawing, p.Marks, low, high); err != nil {
		return "", fmt.Errorf("marks: %w", err)
	}
	if headroom := (high - low) * legendHeadroom; headroom > 0 {
		drawing.Y.Max = high + headroom
	}
	writer, err := drawing.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var text bytes.Buffer
	if _, err := writer.WriteTo(&text); err != nil {
		return "", err
	}
	_, svg, _ := strings.Cut(text.String(), "<svg")
	return template.HTML("<svg" + svg), nil
}

// yRange returns the minimum and the maximum Y of all lines. The range always includes 0.
func (p Plot) yRange() (low, high float64) {
	for _, line := range p.Lines {
		for _, y := range line.Y {
			low = min(low, y)
			high = max(high, y)
		}
	}
	return low, high
}

// addLine draws one line with its points. The index determines its color and dashes.
func addLine(drawing *plot.Plot, index int, line Line) error {
	points := make(plotter.XYs, len(line.X))
	for i := range line.X {
		points[i].X = line.X[i]
		points[i].Y = line.Y[i]
	}
	drawn, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	drawn.Color = plotutil.Color(index)
	drawn.Dashes = plotutil.Dashes(index / colorsBeforeDashes)
	dots.Color = drawn.Color
	dots.Shape = draw.CircleGlyph{}
	dots.Radius = vg.Points(1.5)
	drawing.Add(drawn, dots)
	drawing.Legend.Add(line.Name, drawn)
	return nil
}

// addMarks draws a vertical line for each mark. A name is written only once, as the texts of many marks with the same
// name would overlap.
func addMarks(drawing *plot.Plot, marks []Mark, low, high float64) error {
	named := map[string]bool{}
	for _, mark := range marks {
		line, err := plotter.NewLine(plotter.XYs{{X: mark.At, Y: low}, {X: mark.At, Y: high}})
		if err != nil {
			return err
		}
		line.Color = markColor
		line.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		drawing.Add(line)
		if named[mark.Name] {
			continue
		}
		named[mark.Name] = true
		top := plotter.XYs{{X: mark.At, Y: high}}
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: top, Labels: []string{mark.Name}})
		if err != nil {
			return err
		}
		drawing.Add(labels)
	}
	return nil
}
