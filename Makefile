LINT = go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BUF = go tool -modfile=tools/go.mod buf

.PHONY: build test lint format generate check-generated demo ci

build:
	go build -o bin/ ./cmd/...

test:
	go test -race -shuffle=on ./...

lint:
	$(LINT) run ./...

format:
	$(LINT) fmt ./...

check-format:
	$(LINT) fmt --diff ./...

generate:
	$(BUF) generate

ci:
	bash .ci/run
