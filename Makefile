.PHONY: build fmt lint test prove bench demo generate

GO ?= go
BIN := bin

build:
	$(GO) build -o $(BIN)/ ./cmd/...

fmt:
	@out=$$(gofmt -l .); test -z "$$out" || { echo "not formatted:"; echo "$$out"; exit 1; }

lint:
	$(GO) vet ./...
	$(GO) vet -tags prove ./prove/...
	$(GO) tool staticcheck ./...
	$(GO) tool staticcheck -tags prove ./prove/...

test: build
	$(GO) test ./...

prove: build
	$(GO) test -tags prove -count=1 -timeout 10m ./prove/...

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

demo: build
	$(BIN)/apricotspoke-load demo

generate:
	$(GO) generate ./protocol/wire
