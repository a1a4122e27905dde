// Package report writes the result of a run as a self-contained HTML page with plots.
package report

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/thistlewalk/thistlewalk/internal/lab/scenario"
)

const (
	width      = 22 * vg.Centimeter
	height     = 8 * vg.Centimeter
	fileMode   = 0o644
	folderMode = 0o755
)

var (
	lineColour  = color.RGBA{R: 30, G: 90, B: 160, A: 255}
	eventColour = color.RGBA{R: 200, G: 60, B: 40, A: 130}
)

// Plot is a rendered plot of a report.
type Plot struct {
	Name    string
	Caption string
	Image   []byte // PNG
}

// Draw draws the plots of a run.
func Draw(result scenario.Result) ([]Plot, error) {
	idle := make(plotter.XYs, 0, len(result.Idle))
	for index, wait := range result.Idle {
		idle = append(idle, plotter.XY{X: float64(index), Y: wait.Seconds()})
	}
	tokens, queue, newest := timelineCurves(result.Timeline.Points)
	drawings := []struct {
		name, caption, x, y string
		points              plotter.XYs
		events              []scenario.Event
	}{
		{"idle", "Trainer idle time by step", "step", "seconds", idle, nil},
		{"tokens", "Tokens generated a second", "modelled seconds", "tokens/s", tokens, result.Timeline.Events},
		{"queue", "Requests waiting in engines", "modelled seconds", "requests", queue, result.Timeline.Events},
		{"versions", "Engines that run the newest version", "modelled seconds", "engines", newest, result.Timeline.Events},
	}
	var plots []Plot
	for _, drawing := range drawings {
		image, err := drawCurve(drawing.caption, drawing.x, drawing.y, drawing.points, drawing.events)
		if err != nil {
			return nil, err
		}
		plots = append(plots, Plot{Name: drawing.name, Caption: drawing.caption, Image: image})
	}
	histogram, err := drawStaleness(result.Staleness)
	if err != nil {
		return nil, err
	}
	return append(plots, Plot{Name: "staleness", Caption: "Staleness of delivered samples", Image: histogram}), nil
}

func timelineCurves(points []scenario.Point) (tokens, queue, newest plotter.XYs) {
	for _, point := range points {
		at := point.At.Seconds()
		tokens = append(tokens, plotter.XY{X: at, Y: point.TokensPerSecond})
		queue = append(queue, plotter.XY{X: at, Y: float64(point.Queued)})
		newest = append(newest, plotter.XY{X: at, Y: float64(point.EnginesOnNewest)})
	}
	return tokens, queue, newest
}

// drawCurve draws a curve, with a vertical line for each event.
func drawCurve(caption, x, y string, points plotter.XYs, events []scenario.Event) ([]byte, error) {
	drawing := plot.New()
	drawing.Title.Text = caption
	drawing.X.Label.Text, drawing.Y.Label.Text = x, y
	drawing.Y.Min = 0
	if len(points) > 0 {
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, errors.Wrap(err, caption)
		}
		line.Color = lineColour
		line.Width = vg.Points(1.5)
		drawing.Add(line)
		greatest := slices.MaxFunc(points, func(a, b plotter.XY) int { return int(a.Y - b.Y) }).Y
		if err := addEvents(drawing, events, greatest); err != nil {
			return nil, err
		}
	}
	drawing.Y.Min = 0
	return encodePNG(drawing)
}

// addEvents adds a vertical line for each event.
func addEvents(drawing *plot.Plot, events []scenario.Event, greatest float64) error {
	for _, event := range events {
		at := event.At.Seconds()
		mark, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: max(greatest, 1)}})
		if err != nil {
			return errors.Wrap(err, event.What)
		}
		mark.Color = eventColour
		drawing.Add(mark)
	}
	return nil
}

// drawStaleness draws a histogram of the staleness of samples.
func drawStaleness(versions []uint64) ([]byte, error) {
	drawing := plot.New()
	drawing.Title.Text = "Staleness of delivered samples"
	drawing.X.Label.Text, drawing.Y.Label.Text = "versions behind the newest", "samples"
	counts := make(plotter.Values, 1)
	for _, behind := range versions {
		for uint64(len(counts)) <= behind {
			counts = append(counts, 0)
		}
		counts[behind]++
	}
	bars, err := plotter.NewBarChart(counts, vg.Points(40))
	if err != nil {
		return nil, errors.Wrap(err, "staleness")
	}
	bars.Color = lineColour
	drawing.Add(bars)
	names := make([]string, 0, len(counts))
	for index := range counts {
		names = append(names, fmt.Sprint(index))
	}
	drawing.NominalX(names...)
	drawing.Y.Min = 0
	return encodePNG(drawing)
}

func encodePNG(drawing *plot.Plot) ([]byte, error) {
	writer, err := drawing.WriterTo(width, height, "png")
	if err != nil {
		return nil, errors.Wrap(err, "plot")
	}
	var image bytes.Buffer
	_, err = writer.WriteTo(&image)
	return image.Bytes(), errors.Wrap(err, "plot")
}

type page struct {
	Title   string
	Side    string
	Result  scenario.Result
	Idle    float64
	Plots   []pageImage
	Written string
}

type pageImage struct {
	Caption string
	Source  template.URL
}

var pageTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto;color:#222}table{border-collapse:collapse}
td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:left}img{max-width:100%}.bad{color:#b00}</style></head><body>
<h1>{{.Title}}</h1>
<p>Side: {{.Side}}. Seed {{.Result.Report.Seed}}. Modelled time {{.Result.Modelled}}.</p>
<table>
<tr><th>samples delivered</th><td>{{.Result.Report.SamplesDelivered}} of {{.Result.Report.SamplesRequested}}</td></tr>
<tr><th>trainer idle time</th><td>{{printf "%.1f" .Result.Report.TrainerIdleSeconds}} s in all, {{printf "%.2f" .Idle}} s a step</td></tr>
<tr><th>step time</th><td>{{printf "%.2f" .Result.Report.StepSeconds}} s</td></tr>
<tr><th>staleness in versions</th><td>half at most {{.Result.Report.StalenessVersions.P50}}, 99% at most {{.Result.Report.StalenessVersions.P99}}, greatest {{.Result.Report.StalenessVersions.Max}}</td></tr>
<tr><th>requests of callers</th><td>{{.Result.Report.Requests}}: {{.Result.Report.Outcomes.Done}} done, {{.Result.Report.Outcomes.NotRun}} not run, {{.Result.Report.Outcomes.Unknown}} unknown</td></tr>
<tr><th>breaches</th><td{{if .Result.Report.Breaches}} class="bad"{{end}}>{{.Result.Report.Breaches}}</td></tr>
</table>
{{range .Plots}}<figure><img alt="{{.Caption}}" src="{{.Source}}"></figure>
{{end}}
<h2>Events</h2><ul>{{range .Result.Report.Events}}<li>{{.}}</li>{{end}}</ul>
<p>Written {{.Written}}.</p></body></html>
`))

// Write writes report.html and one PNG file per plot into a folder.
func Write(folder, title string, variant scenario.Variant, result scenario.Result) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "report folder")
	}
	plots, err := Draw(result)
	if err != nil {
		return err
	}
	content := page{Title: title, Side: variant.Name, Result: result, Written: time.Now().Format(time.RFC3339)}
	if len(result.Idle) > 0 {
		content.Idle = result.Report.TrainerIdleSeconds / float64(len(result.Idle))
	}
	for _, drawn := range plots {
		if err := os.WriteFile(filepath.Join(folder, drawn.Name+".png"), drawn.Image, fileMode); err != nil {
			return errors.Wrap(err, "plot")
		}
		source := "data:image/png;base64," + base64.StdEncoding.EncodeToString(drawn.Image)
		content.Plots = append(content.Plots, pageImage{Caption: drawn.Caption, Source: template.URL(source)})
	}
	var html bytes.Buffer
	if err := pageTemplate.Execute(&html, content); err != nil {
		return errors.Wrap(err, "report")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(folder, "report.html"), html.Bytes(), fileMode), "report")
}
