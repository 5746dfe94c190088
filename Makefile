# Build, test and measurement targets of the workspace. They need only Go, and the demo
# and the measurement of capacity also curl; the linters are installed into bin/tools.
MODULES := quetzalcore platform quetzalentry quetzalctl quetzalload quetzalstandin quetzalproof
PROGRAMS := platform quetzalentry quetzalctl quetzalload quetzalstandin
LINT_VERSION := v2.15.0
FUMPT_VERSION := v0.12.0
SCHEMA_VERSION := v0.24.1
TOOLS := $(CURDIR)/bin/tools

.PHONY: build
build: $(PROGRAMS:%=build-%)

.PHONY: build-%
build-%:
	cd $* && go build -o $(CURDIR)/bin/$* .

.PHONY: vet
vet: $(MODULES:%=vet-%)

.PHONY: vet-%
vet-%:
	cd $* && go vet ./...

.PHONY: tools
tools: $(TOOLS)/golangci-lint $(TOOLS)/gofumpt

$(TOOLS)/golangci-lint:
	GOBIN=$(TOOLS) GOWORK=off go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

$(TOOLS)/gofumpt:
	GOBIN=$(TOOLS) GOWORK=off go install mvdan.cc/gofumpt@$(FUMPT_VERSION)

$(TOOLS)/go-jsonschema:
	GOBIN=$(TOOLS) GOWORK=off go install github.com/atombender/go-jsonschema@$(SCHEMA_VERSION)

.PHONY: lint
lint: tools
	@status=0; for m in $(MODULES); do \
	  (cd $$m && $(TOOLS)/golangci-lint run --config $(CURDIR)/.golangci.yml ./...) || status=1; \
	done; exit $$status

.PHONY: format
format: tools
	$(TOOLS)/gofumpt -extra -w $$(git ls-files '*.go')

.PHONY: generate
generate: $(TOOLS)/go-jsonschema
	cd quetzalcore/quetzalwire && PATH=$(TOOLS):$$PATH go generate .
	cd platform/quetzalplatformwire && PATH=$(TOOLS):$$PATH go generate .

.PHONY: demo
demo: build
	demo/run.sh

.PHONY: test
test: build vet lint check-reference
	ci/test.sh $(MODULES)

.PHONY: soak
soak:
	cd quetzalcore && go test ./quetzalsystem -run TestGuaranteesUnderRandomFaults -rapid.checks=5000 -rapid.seed=$$(date +%s) -count=1 -timeout 30m

.PHONY: soak-work
soak-work:
	cd quetzalcore && go test ./quetzalscheduler -run TestGuaranteesUnderRandomFaults -rapid.checks=5000 -rapid.seed=$$(date +%s) -count=1 -timeout 30m

# The records of failed seeds are in out/soak-processes.
.PHONY: soak-processes
soak-processes:
	cd quetzalproof && QUETZAL_SOAK_SEEDS=$${QUETZAL_SOAK_SEEDS:-50} QUETZAL_SOAK_SEED=$${QUETZAL_SOAK_SEED:-$$(date +%s)} QUETZAL_SOAK_SECONDS=$${QUETZAL_SOAK_SECONDS:-40} \
	  go test . -run 'UnderRandomFaultsOfProcesses$$' -count=1 -v -timeout 2h

.PHONY: bench
bench:
	cd quetzalcore && go test ./quetzalsystem -run XXX -bench . -benchtime 300ms
	cd quetzalcore && go test ./quetzalscheduler -run XXX -bench . -benchtime 1x
	cd quetzalcore && go test ./quetzallimit -run XXX -bench . -benchtime 300ms
	cd platform && go test ./quetzalorder -run XXX -bench . -benchtime 1s
	cd quetzalentry && go test . -run XXX -bench . -benchtime 2s
	cd quetzalproof && go test . -run XXX -bench . -benchtime 1x

.PHONY: compare
compare: build
	bin/quetzalload compare

.PHONY: capacity
capacity: build
	ci/capacity.sh

.PHONY: reference
reference:
	ci/settings.sh > docs/SETTINGS.md

.PHONY: check-reference
check-reference:
	ci/settings.sh | diff - docs/SETTINGS.md
