# Tasks of the project. "make check" is what CI runs.

BIN := bin
LINT := $(BIN)/golangci-lint
PACKAGES := ./...

.PHONY: all build dev check fmt format lint vet test fuzz bounds bench clean

all: build

build:
	go build -o $(BIN)/magnoliawalk ./cmd/magnoliawalk

dev: build
	$(BIN)/magnoliawalk dev

$(LINT): tools/lint/go.mod tools/lint/go.sum
	go -C tools/lint build -mod=readonly -o $(CURDIR)/$(LINT) github.com/golangci/golangci-lint/v2/cmd/golangci-lint

format: $(LINT)
	$(LINT) fmt

fmt: $(LINT)
	$(LINT) fmt --diff

lint: $(LINT)
	$(LINT) run

vet:
	go vet $(PACKAGES)

test:
	go test -race -count=1 -timeout 8m $(PACKAGES)

check: fmt vet lint build test

clean:
	rm -rf $(BIN)
