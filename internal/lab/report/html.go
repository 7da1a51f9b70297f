package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
)

//go:embed report.html.tmpl
var pageText string

var page = template.Must(template.New("report").Funcs(pageFunctions).Parse(pageText))

// pageFunctions are the functions available in the page's template.
var pageFunctions = template.FuncMap{"keys": templateKeys, "countLabel": CountLabel, "figureLabel": FigureLabel}

// templateKeys returns the sorted keys of a report's counts or figures.
func templateKeys(values any) []string {
	switch values := values.(type) {
	case map[string]int64:
		return SortedKeys(values)
	case map[string]float64:
		return SortedKeys(values)
	}
	return nil
}

// WriteHTML writes the report as one HTML page without external files.
func (r *Report) WriteHTML(w io.Writer) error {
	var plots []template.HTML
	for _, p := range r.Plots {
		svg, err := p.svg()
		if err != nil {
			return fmt.Errorf("draw plot %q: %w", p.Title, err)
		}
		plots = append(plots, svg)
	}
	return page.Execute(w, struct {
		R     *Report
		Plots []template.HTML
	}{r, plots})
}
