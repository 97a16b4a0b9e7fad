package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with seconds since its start.
type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// log writes one line.
func (r *recorder) log(format string, args ...any) { r.logAt(time.Now(), format, args...) }

func (r *recorder) logAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
