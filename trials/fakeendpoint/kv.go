package fakeendpoint

import (
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

// importedTokens adds up the named blocks, all of which must be held here.
func (e *Endpoint) importedTokens(names string) (uint64, error) {
	if names == "" {
		return 0, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var tokens uint64
	for name := range strings.SplitSeq(names, ",") {
		held, ok := e.blocks[name]
		if !ok {
			return 0, fmt.Errorf("the block %q is not held here", name)
		}
		tokens += held
	}
	return tokens, nil
}

func (e *Endpoint) keepBlock(block kvBlock) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, held := e.blocks[block.Block]; held {
		return nil
	}
	if e.memoryUsed+block.Tokens > e.config.MemoryTokens {
		return errMemory
	}
	e.blocks[block.Block] = block.Tokens
	e.memoryUsed += block.Tokens
	return nil
}

func (e *Endpoint) serveKvPrefill(w http.ResponseWriter, r *http.Request) {
	var request kvPrefill
	if err := readJSON(w, r, &request); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	if _, err := e.importedTokens(strings.Join(request.Imports, ",")); err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	name := fmt.Sprintf("%s-%d", request.Attempt, request.Segment)
	block := kvBlock{Block: name, Tokens: request.Tokens}
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
	tokens, ok := e.blocks[name]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "the block is not held here", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, kvBlock{Block: name, Tokens: tokens})
}

func (e *Endpoint) serveKvDelete(w http.ResponseWriter, r *http.Request) {
	e.freeBlock(chi.URLParam(r, "block"))
	w.WriteHeader(http.StatusNoContent)
}

func (e *Endpoint) freeBlock(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if tokens, ok := e.blocks[name]; ok {
		delete(e.blocks, name)
		e.memoryUsed -= tokens
	}
}
