.PHONY: build test race lint run regress prove-cells prove-move prove-size prove-placement prove-placement-size prove-placement-worth prove-failover prove-drain soak

SEED ?= 1

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

# SKIP is a pattern of tests to skip; CI sets it to the tests listed in KNOWN-RED.txt.
SKIP ?=
test:
	go test -count=1 $(if $(SKIP),-skip '$(SKIP)') ./...

# The packages with goroutines besides the event loop. Data races are detected only here.
race:
	go test -race -count=1 $(if $(SKIP),-skip '$(SKIP)') ./cmd/tealtiller ./internal/net ./internal/request ./internal/discovery

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l . ; echo "these files are not formatted by gofmt" >&2; exit 1; }
	go vet ./...

# Runs one balancer if EDGE_CONFIG names a configuration, otherwise a small fleet with simulated peers and light load.
run: build
	@if [ -n "$$EDGE_CONFIG" ]; then exec bin/tealtiller; else exec bin/lab up; fi

# Proofs: the last line is one JSON line of figures; the exit code is not 0 if a requirement is violated.
prove-cells prove-move prove-size prove-placement prove-placement-size prove-placement-worth prove-failover prove-drain: build
	@bin/lab prove $(@:prove-%=%) --seed $(SEED)


# The regression before a merge: two sites one after the other on sockets, nine with 300 balancers, then 80. It is not
# part of CI, as it needs the operators' kit; QUICK= runs it in full. Each run needs all cores: run nothing else meanwhile.
KIT ?=
QUICK ?= --quick
WHY ?= Regression of both sites before a landing
SITES ?= $(KIT)/sites/cardiff-north.toml $(KIT)/users/moradas-lisboa.toml
OTHERS ?= $(KIT)/more/mass/other/plan-norte.toml \
	deploy/sites/short-push/short-push.toml deploy/sites/proxy-quiet/proxy-quiet.toml \
	deploy/sites/high-ford/high-ford.toml deploy/sites/grey-crest/grey-crest.toml \
	deploy/sites/high-ridge/high-ridge.toml deploy/sites/fern-knoll/fern-knoll.toml
regress:
	@test -n "$(KIT)" || { echo "regress: set KIT to the folder of the operators' kit" >&2; exit 2; }
	@for site in $(SITES); do $(KIT)/real/bin/lbreal score $$site $(QUICK) --why "$(WHY)" || exit 1; done
	@for site in $(SITES) $(OTHERS); do $(KIT)/more/mass/bin/lbreal score $$site $(QUICK) --why "$(WHY)" || exit 1; done
	$(KIT)/more/bin/lbreal score $(KIT)/sites/cardiff-north.toml $(QUICK) --why "$(WHY)"

# Plays real processes under faults drawn from a seed: see docs/soak.md.
SEEDS ?= 50
AT ?= 8
KIND ?= mixed
soak: build
	@bin/lab soak --seed $(SEED) --seeds $(SEEDS) --at $(AT) --kind $(KIND) $(if $(FOLDER),--folder $(FOLDER))
