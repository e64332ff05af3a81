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

// Size of plots.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Report is the result of an experiment.
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

// Plot has lines over a common axis.
type Plot struct {
	// Name is the name of the file without its ending.
	Name  string `json:"name"`
	Title string `json:"title"`
	X     string `json:"x"`
	Y     string `json:"y"`
	Lines []Line `json:"lines"`
}

// Line is one line of a plot.
type Line struct {
	Name   string      `json:"name"`
	Points plotter.XYs `json:"points"`
}

// add adds a row of a table.
func (t *Table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = text(c)
	}
	t.Rows = append(t.Rows, row)
}

// text formats a figure as it stands in the docs.
func text(v any) string {
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

// notCompleted counts the operations after the skipped part of a run that did
// not end with a complete response.
func notCompleted(r *load.Result) int {
	n := 0
	for outcome, count := range r.Counts {
		if outcome != load.OutcomeOK {
			n += count
		}
	}
	return n
}

// spread describes repeated measurements by their least, median and largest.
func spread(values []time.Duration) (least, median, largest time.Duration) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[0], sorted[len(sorted)/2], sorted[len(sorted)-1]
}

// Markdown writes the tables as they stand in the docs.
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
		return fmt.Errorf("write the report: %w", err)
	}
	return nil
}

// WriteJSON writes the report to a file.
func (r *Report) WriteJSON(file string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the report: %w", err)
	}
	if err := os.WriteFile(file, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write the report: %w", err)
	}
	return nil
}

// WritePlots writes each plot as an SVG file into a folder.
func (r *Report) WritePlots(folder string) error {
	for _, p := range r.Plots {
		if err := p.write(filepath.Join(folder, p.Name+".svg")); err != nil {
			return fmt.Errorf("plot %s: %w", p.Name, err)
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
			return fmt.Errorf("line %s: %w", l.Name, err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		canvas.Add(line)
		canvas.Legend.Add(l.Name, line)
	}
	if err := canvas.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	return nil
}
