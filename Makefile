LINT = go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
PEER = protocol/dispatch/ebonyworks/peer/v1
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
	cd $(PEER) && sha256sum peer.proto peer.pb.go peerv1connect/peer.connect.go > generated.sha256

ci:
	bash .ci/run
