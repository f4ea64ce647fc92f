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

type kvBlock struct {
	Block  string `json:"block"`
	Tokens uint64 `json:"tokens"`
	Bytes  int    `json:"bytes,omitempty"`  // of the segment's text
	Digest string `json:"digest,omitempty"` // of that text
}

type kvPrefill struct {
	Attempt string   `json:"attempt"`
	Segment int      `json:"segment"`
	Tokens  uint64   `json:"tokens"`
	Imports []string `json:"imports"`
	Text    string   `json:"text"`
}

type kvExport struct {
	Attempt string `json:"attempt"`
}

type kvImport struct {
	Source string `json:"source"`
}

var errMemory = errors.New("out of memory")

func importNames(header string) []string {
	if header == "" {
		return nil
	}
	return strings.Split(header, ",")
}

// readImports reads the named blocks and adds up their tokens. A block of a
// segment must be of the text at its place, where the text is known.
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
			return 0, fmt.Errorf("the block %q is of another text", name)
		}
		text = text[block.Bytes:]
	}
	return tokens, nil
}

// readBlock finds a block here, or reads it from the endpoint that keeps it.
func (e *Endpoint) readBlock(r *http.Request, name string) (kvBlock, error) {
	if strings.HasPrefix(name, "http://") {
		return fetchBlock(r, name)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	block, ok := e.blocks[name]
	if !ok {
		return block, fmt.Errorf("the block %q is not held here", name)
	}
	return block, nil
}

func digest(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }

func (e *Endpoint) keepBlock(block kvBlock) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, held := e.blocks[block.Block]; held {
		return nil
	}
	if e.memoryUsed+block.Tokens > e.config.MemoryTokens {
		return errMemory
	}
	e.blocks[block.Block] = block
	e.memoryUsed += block.Tokens
	return nil
}

func (e *Endpoint) serveKvPrefill(w http.ResponseWriter, r *http.Request) {
	var request kvPrefill
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
	if err := e.keepBlock(block); err != nil {
		refuse(w, http.StatusInsufficientStorage, err)
		return
	}
	a := &attempt{id: name, prefillLeft: float64(request.Tokens), changed: make(chan struct{})}
	if err := e.admit(a); err != nil {
		e.freeBlock(name)
		panic(http.ErrAbortHandler)
	}
	if _, _, err := e.await(r.Context(), a, 0); err != nil {
		e.cancel(a.id)
		e.freeBlock(name)
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, block)
}

func (e *Endpoint) serveKvExport(w http.ResponseWriter, r *http.Request) {
	var request kvExport
	if err := readJSON(w, r, &request); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	a := e.find(request.Attempt)
	if a == nil {
		refuse(w, http.StatusNotFound, errors.New("the attempt is not known"))
		return
	}
	block := kvBlock{Block: a.id + "-export", Tokens: a.promptTokens}
	if err := e.keepBlock(block); err != nil {
		refuse(w, http.StatusInsufficientStorage, err)
		return
	}
	writeJSON(w, http.StatusOK, block)
}

func (e *Endpoint) serveKvImport(w http.ResponseWriter, r *http.Request) {
	var request kvImport
	if err := readJSON(w, r, &request); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	block, err := fetchBlock(r, request.Source)
	if err != nil {
		refuse(w, http.StatusBadGateway, err)
		return
	}
	if err := e.keepBlock(block); err != nil {
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
		return block, fmt.Errorf("the source answered %s", response.Status)
	}
	return block, json.NewDecoder(response.Body).Decode(&block)
}

func (e *Endpoint) serveKvBlock(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "block")
	e.mu.Lock()
	block, ok := e.blocks[name]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "the block is not held here", http.StatusNotFound)
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
	if block, ok := e.blocks[name]; ok {
		delete(e.blocks, name)
		e.memoryUsed -= block.Tokens
	}
}
