package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/jujubeknot/jujubeknot/bench/load"
)

// Size of the plots.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Report is the result of an experiment. The program writes it as JSON.
type Report struct {
	Experiment string  `json:"experiment"`
	Measure    string  `json:"measure"`
	Seed       uint64  `json:"seed"`
	Tables     []Table `json:"tables"`
	Plots      []Plot  `json:"plots,omitempty"`
}

// Table is one table of figures.
type Table struct {
	Title   string     `json:"title"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// Plot is a diagram of lines with common axes.
type Plot struct {
	// Name is the name of the plot's file without its extension.
	Name  string `json:"name"`
	Title string `json:"title"`
	// X and Y are the labels of the axes.
	X     string `json:"x"`
	Y     string `json:"y"`
	Lines []Line `json:"lines"`
}

// Line is one line of a plot.
type Line struct {
	Name   string      `json:"name"`
	Points plotter.XYs `json:"points"`
}

// addRow appends a row. Its cells are formatted by formatCell.
func (t *Table) addRow(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = formatCell(c)
	}
	t.Rows = append(t.Rows, row)
}

// formatCell formats a figure as it appears in the documentation.
func formatCell(v any) string {
	switch v := v.(type) {
	case time.Duration:
		return milliseconds(v)
	case float64:
		return fmt.Sprintf("%.2f", v)
	default:
		return fmt.Sprint(v)
	}
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.2f ms", float64(d)/float64(time.Millisecond))
}

// quantile returns a quantile of a latency histogram in nanoseconds.
func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q))
}

// notCompleted returns the number of operations of a run that did not end with a
// complete response. Operations in the skipped part of the run do not count.
func notCompleted(r *load.Result) int {
	n := 0
	for outcome, count := range r.Counts {
		if outcome != load.OutcomeOK {
			n += count
		}
	}
	return n
}

// leastMedianLargest returns the least, the median and the largest of values, or
// zeros if there are none.
func leastMedianLargest(values []time.Duration) (least, median, largest time.Duration) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[0], sorted[len(sorted)/2], sorted[len(sorted)-1]
}

// Markdown writes the tables in the Markdown format of the documentation.
func (r *Report) Markdown(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n%s Seed %d.\n", r.Experiment, r.Measure, r.Seed)
	for _, t := range r.Tables {
		fmt.Fprintf(&b, "\n%s\n\n| %s |\n|%s\n", t.Title, strings.Join(t.Columns, " | "), strings.Repeat("---|", len(t.Columns)))
		for _, row := range t.Rows {
			fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
		}
	}
	_, err := io.WriteString(w, b.String())
	if err != nil {
		return fmt.Errorf("write report as Markdown: %w", err)
	}
	return nil
}

// WriteJSON writes the report to a file as indented JSON.
func (r *Report) WriteJSON(file string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.WriteFile(file, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write report as JSON: %w", err)
	}
	return nil
}

// WritePlots writes each plot as an SVG file in the folder, which must exist.
func (r *Report) WritePlots(folder string) error {
	for _, p := range r.Plots {
		if err := p.write(filepath.Join(folder, p.Name+".svg")); err != nil {
			return fmt.Errorf("write plot %s: %w", p.Name, err)
		}
	}
	return nil
}

func (p Plot) write(file string) error {
	canvas := plot.New()
	canvas.Title.Text, canvas.X.Label.Text, canvas.Y.Label.Text = p.Title, p.X, p.Y
	canvas.Legend.Top = true
	canvas.Add(plotter.NewGrid())
	for i, l := range p.Lines {
		line, err := plotter.NewLine(l.Points)
		if err != nil {
			return fmt.Errorf("draw line %s: %w", l.Name, err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		canvas.Add(line)
		canvas.Legend.Add(l.Name, line)
	}
	if err := canvas.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
