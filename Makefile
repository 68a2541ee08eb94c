.PHONY: build test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -count=1 ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l . ; echo "gofmt wants changes" >&2; exit 1; }
	go vet ./...

run: build
	bin/tealtiller
