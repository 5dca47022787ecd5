package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// log writes a line to the file only.
func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) // reported by close
}

// printf writes a line to the file and to standard output.
func (r *record) printf(format string, args ...any) { r.print(fmt.Sprintf(format, args...)) }

func (r *record) print(line string) {
	r.log("%s", line)
	fmt.Printf("%8.3f  %s\n", time.Since(r.began).Seconds(), line)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "record not written:", err)
	}
	_ = r.file.Close() // flushed above
}
