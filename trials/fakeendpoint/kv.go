package fakeendpoint

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"
)

// kvBlock describes a KV block, the result of a prefill, that endpoints can exchange.
type kvBlock struct {
	Block  string `json:"block"`
	Tokens uint64 `json:"tokens"`
	Bytes  int    `json:"bytes,omitempty"`  // of the text that a segment's prefill had; 0 for an export
	Digest string `json:"digest,omitempty"` // of that text, SHA-256 in hex
}

type kvPrefillRequest struct {
	Attempt string   `json:"attempt"`
	Segment int      `json:"segment"`
	Tokens  uint64   `json:"tokens"`
	Imports []string `json:"imports"`
	Text    string   `json:"text"`
}

type kvExportRequest struct {
	Attempt string `json:"attempt"`
}

type kvImportRequest struct {
	Source string `json:"source"`
}

var errOutOfMemory = errors.New("the endpoint has too little free memory for the block")

// parseImports splits the X-Kv-Import header into the names of blocks.
func parseImports(header string) []string {
	if header == "" {
		return nil
	}
	return strings.Split(header, ",")
}

// readImports reads the named blocks and returns the sum of their tokens. If the text is
// known, each block with a digest must match the part of the text at its position.
func (e *Endpoint) readImports(r *http.Request, names []string, text string) (uint64, error) {
	var tokens uint64
	for _, name := range names {
		block, err := e.readBlock(r, name)
		if err != nil {
			return 0, err
		}
		tokens += block.Tokens
		if block.Digest == "" || text == "" {
			continue
		}
		if block.Bytes > len(text) || digest(text[:block.Bytes]) != block.Digest {
			return 0, fmt.Errorf("the text of block %q differs from that of the prompt", name)
		}
		text = text[block.Bytes:]
	}
	return tokens, nil
}

// readBlock returns a block of this endpoint, or of another one if the name is a URL.
func (e *Endpoint) readBlock(r *http.Request, name string) (kvBlock, error) {
	if strings.HasPrefix(name, "http://") {
		return fetchBlock(r, name)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	block, ok := e.kvBlocks[name]
	if !ok {
		return block, fmt.Errorf("unknown block %q", name)
	}
	return block, nil
}

func digest(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }

// storeBlock stores a block and counts its memory. A block stored before is no error.
func (e *Endpoint) storeBlock(block kvBlock) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, held := e.kvBlocks[block.Block]; held {
		return nil
	}
	if e.memoryUsedTokens+block.Tokens > e.config.MemoryTokens {
		return errOutOfMemory
	}
	e.kvBlocks[block.Block] = block
	e.memoryUsedTokens += block.Tokens
	return nil
}

func (e *Endpoint) serveKvPrefill(w http.ResponseWriter, r *http.Request) {
	var request kvPrefillRequest
	if err := readJSON(w, r, &request); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	if _, err := e.readImports(r, request.Imports, ""); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	name := fmt.Sprintf("%s-%d", request.Attempt, request.Segment)
	block := kvBlock{Block: name, Tokens: request.Tokens, Bytes: len(request.Text), Digest: digest(request.Text)}
	if err := e.storeBlock(block); err != nil {
		refuse(w, http.StatusInsufficientStorage, err)
		return
	}
	a := &attempt{id: name, prefillTokensLeft: float64(request.Tokens), changed: make(chan struct{})}
	if err := e.admit(a); err != nil {
		e.freeBlock(name)
		panic(http.ErrAbortHandler)
	}
	if _, _, err := e.awaitTokens(r.Context(), a, 0); err != nil {
		e.cancel(a.id)
		e.freeBlock(name)
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, block)
}

func (e *Endpoint) serveKvExport(w http.ResponseWriter, r *http.Request) {
	var request kvExportRequest
	if err := readJSON(w, r, &request); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	a := e.find(request.Attempt)
	if a == nil {
		refuse(w, http.StatusNotFound, errors.New("unknown attempt"))
		return
	}
	block := kvBlock{Block: a.id + "-export", Tokens: a.promptTokens}
	if err := e.storeBlock(block); err != nil {
		refuse(w, http.StatusInsufficientStorage, err)
		return
	}
	writeJSON(w, http.StatusOK, block)
}

func (e *Endpoint) serveKvImport(w http.ResponseWriter, r *http.Request) {
	var request kvImportRequest
	if err := readJSON(w, r, &request); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	block, err := fetchBlock(r, request.Source)
	if err != nil {
		refuse(w, http.StatusBadGateway, err)
		return
	}
	if err := e.storeBlock(block); err != nil {
		refuse(w, http.StatusInsufficientStorage, err)
		return
	}
	writeJSON(w, http.StatusOK, block)
}

func fetchBlock(r *http.Request, source string) (kvBlock, error) {
	var block kvBlock
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, source, nil)
	if err != nil {
		return block, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return block, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return block, fmt.Errorf("the source endpoint answered %s", response.Status)
	}
	return block, json.NewDecoder(response.Body).Decode(&block)
}

func (e *Endpoint) serveKvBlock(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "block")
	e.mu.Lock()
	block, ok := e.kvBlocks[name]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "unknown block", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, block)
}

func (e *Endpoint) serveKvDelete(w http.ResponseWriter, r *http.Request) {
	e.freeBlock(chi.URLParam(r, "block"))
	w.WriteHeader(http.StatusNoContent)
}

func (e *Endpoint) freeBlock(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if block, ok := e.kvBlocks[name]; ok {
		delete(e.kvBlocks, name)
		e.memoryUsedTokens -= block.Tokens
	}
}
