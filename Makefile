.PHONY: build fmt lint test prove prove-seeds bench demo generate

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

# The mixed run over twenty seeds.
SEEDS ?= 1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17,18,19,20
prove-seeds: build
	APRICOTSPOKE_PROVE_SEEDS=$(SEEDS) $(GO) test -tags prove -count=1 -v -timeout 30m -run TestMixedFaults ./prove

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./...

demo: build
	$(BIN)/apricotspoke-load demo

generate:
	$(GO) generate ./protocol/wire
