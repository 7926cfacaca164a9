# Targets: build, test (all checks and tests), demo, generate.
MODULES := core daemon ctl
PACKAGES := ./core/... ./daemon/... ./ctl/...

.PHONY: all build test lint unit generate demo capacity

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
