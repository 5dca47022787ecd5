package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// kvHeader is the first line of an exported cache. The data of the blocks follows.
type kvHeader struct {
	Blocks     []string `json:"blocks"` // from the start of the prompt
	BlockBytes int      `json:"block_bytes"`
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	hash, err := parseBlock(r.PathValue("block"))
	if err != nil {
		writeFailure(w, badRequest(err.Error()))
		return
	}
	e.mu.Lock()
	chain := e.cache.chain(hash)
	e.mu.Unlock()
	if len(chain) == 0 {
		writeFailure(w, errNoBlock)
		return
	}
	header := kvHeader{BlockBytes: e.settings.KVBlockBytes}
	for _, block := range chain {
		header.Blocks = append(header.Blocks, formatBlock(block))
	}
	line, err := json.Marshal(header)
	if err != nil {
		panic(err) // strings always marshal
	}
	line = append(line, '\n')
	size := len(line) + len(chain)*e.settings.KVBlockBytes
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(line) // the client may have disconnected
	data := make([]byte, e.settings.KVBlockBytes)
	for range chain {
		if _, err := w.Write(data); err != nil {
			return
		}
	}
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	blocks, err := readKV(r.Body, r.PathValue("block"))
	if err != nil {
		writeFailure(w, badRequest(err.Error()))
		return
	}
	if failed := e.importBlocks(blocks); failed != nil {
		writeFailure(w, failed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// readKV reads an exported cache and checks that it is complete and that its last
// block is the given one.
func readKV(body io.Reader, block string) ([]uint64, error) {
	reader := bufio.NewReader(body)
	line, err := reader.ReadBytes('\n')
	if err != nil {
		return nil, fmt.Errorf("read header: %w", err)
	}
	var header kvHeader
	if err := json.Unmarshal(line, &header); err != nil {
		return nil, fmt.Errorf("decode header: %w", err)
	}
	if len(header.Blocks) == 0 || header.Blocks[len(header.Blocks)-1] != block {
		return nil, fmt.Errorf("the last block is not %s", block)
	}
	want := int64(len(header.Blocks)) * int64(header.BlockBytes)
	got, err := io.Copy(io.Discard, reader)
	if err != nil {
		return nil, fmt.Errorf("read blocks: %w", err)
	}
	if got != want {
		return nil, fmt.Errorf("got %d bytes of blocks, want %d", got, want)
	}
	blocks := make([]uint64, 0, len(header.Blocks))
	for _, text := range header.Blocks {
		hash, err := parseBlock(text)
		if err != nil {
			return nil, err
		}
		blocks = append(blocks, hash)
	}
	return blocks, nil
}

func (e *Engine) importBlocks(blocks []uint64) *failure {
	e.mu.Lock()
	defer e.mu.Unlock()
	hits := e.cache.match(blocks)
	e.cache.pin(blocks[:hits])
	room := e.makeRoom(len(blocks) - hits)
	e.cache.unpin(blocks[:hits])
	if !room {
		return errNoMemory
	}
	e.addEvent(eventStored, e.cache.insert(blocks))
	e.sampleLoad()
	return nil
}
