package bench

import (
	"fmt"
	"html"
	"io"
	"math"
	"strings"
)

// Dimensions of the plot, in pixels.
const (
	plotWidth, plotHeight = 760, 420
	plotLeft, plotTop     = 70, 50
	plotRight, plotBottom = 20, 60
)

var plotColours = []string{"#1b6ca8", "#c8553d", "#4a7c59", "#8e6c8a", "#b8860b"}

// plotQuantiles are the percentiles on the horizontal axis, evenly spaced so that
// the tail takes most of the width.
var plotQuantiles = []float64{50, 75, 90, 95, 99, 99.5, 99.9}

// WritePlot writes an SVG plot of response time over ideal by percentile, one line
// per report.
func WritePlot(w io.Writer, reports ...*Report) error {
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="13">`, plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="#fff"/>`, plotWidth, plotHeight)
	top := plotMax(reports)
	drawAxes(&b, top)
	for i, r := range reports {
		drawReport(&b, r, top, i)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func plotMax(reports []*Report) float64 {
	top := 1.5
	for _, r := range reports {
		top = max(top, quantile(r.ratios, plotQuantiles[len(plotQuantiles)-1]))
	}
	return top
}

func plotX(i int) float64 {
	return plotLeft + float64(i)*float64(plotWidth-plotLeft-plotRight)/float64(len(plotQuantiles)-1)
}

// plotY maps a ratio to a vertical position, on a logarithmic scale with 1 at the
// bottom.
func plotY(v, top float64) float64 {
	share := math.Log(max(v, 1)) / math.Log(top)
	return plotHeight - plotBottom - share*float64(plotHeight-plotTop-plotBottom)
}

func drawAxes(b *strings.Builder, top float64) {
	fmt.Fprintf(b, `<text x="%d" y="24" font-size="16">Response time over ideal, by share of jobs</text>`, plotLeft)
	for i, q := range plotQuantiles {
		fmt.Fprintf(b, `<line x1="%.0f" x2="%.0f" y1="%d" y2="%d" stroke="#eee"/>`, plotX(i), plotX(i), plotTop, plotHeight-plotBottom)
		fmt.Fprintf(b, `<text x="%.0f" y="%d" text-anchor="middle">p%g</text>`, plotX(i), plotHeight-plotBottom+20, q)
	}
	for _, v := range []float64{1, 1.05, 1.25, 1.5, 2, 3, 5, 10, 20, 50, 100} {
		if v > top {
			break
		}
		y := plotY(v, top)
		fmt.Fprintf(b, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/>`, plotLeft, plotWidth-plotRight, y, y)
		fmt.Fprintf(b, `<text x="%d" y="%.1f" text-anchor="end">%g</text>`, plotLeft-8, y+4, v)
	}
}

func drawReport(b *strings.Builder, r *Report, top float64, n int) {
	colour := plotColours[n%len(plotColours)]
	var points []string
	for i, q := range plotQuantiles {
		points = append(points, fmt.Sprintf("%.1f,%.1f", plotX(i), plotY(quantile(r.ratios, q), top)))
	}
	fmt.Fprintf(b, `<polyline points="%s" fill="none" stroke="%s" stroke-width="2"/>`, strings.Join(points, " "), colour)
	name := fmt.Sprintf("%s, %s, load %g, seed %d", r.Policy, r.Profile, r.Load, r.Seed)
	fmt.Fprintf(b, `<text x="%d" y="%d" fill="%s">%s</text>`, plotLeft+10, plotTop+16+18*n, colour, html.EscapeString(name))
}
