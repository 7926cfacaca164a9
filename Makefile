# Targets: build, test (all checks and tests), demo, bench, capacity, generate.
MODULES := core daemon ctl
PACKAGES := ./core/... ./daemon/... ./ctl/...

.PHONY: all build test lint unit generate demo capacity bench

all: build

build:
	mkdir -p bin
	go build -o bin/ ./daemon/cmd/sesamemoord ./ctl/cmd/sesamemoorctl

test: lint build unit
	@if [ -s KNOWN-RED.txt ]; then echo "known failures:"; cat KNOWN-RED.txt; fi

lint:
	@unformatted=$$(gofmt -l $(MODULES)); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	go vet $(PACKAGES)
	go tool staticcheck $(PACKAGES)

unit:
	go test -race -count=1 -timeout 20m $(PACKAGES)

# EXAMPLE is a directory of examples/.
EXAMPLE ?= hanbit
demo: build
	scripts/demo.sh $(EXAMPLE)

# Needs protoc and protoc-gen-go.
generate:
	cd core/wire && protoc --go_out=. --go_opt=paths=source_relative record.proto peer.proto state.proto

# The slopes behind docs/CAPACITY.md.
capacity: build
	bin/sesamemoorctl capacity
	go test -run '^$$' -bench . -benchtime 1s ./core/...

# The figures of docs/MEASUREMENTS.md; SCENARIO names one scenario.
SCENARIO ?= all
SEED ?= 1
bench: build
	bin/sesamemoorctl bench -seed $(SEED) $(SCENARIO)
