.PHONY: build test lint run prove-cells prove-move prove-size prove-placement prove-placement-size prove-placement-worth

SEED ?= 1

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -count=1 ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l . ; echo "gofmt wants changes" >&2; exit 1; }
	go vet ./...

# One balancer where a configuration is named, else a small fleet with stand-ins and light load.
run: build
	@if [ -n "$$EDGE_CONFIG" ]; then exec bin/tealtiller; else exec bin/lab up; fi

# Proofs: one JSON line of figures comes last; the exit code is not 0 where a promise is broken.
prove-cells prove-move prove-size prove-placement prove-placement-size prove-placement-worth: build
	@bin/lab prove $(@:prove-%=%) --seed $(SEED)
