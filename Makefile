.PHONY: build test bench generate

build:
	go build -o oleanderflow .

test:
	go test -count=1 -timeout 20m $(ARGS) ./...

bench:
	go test -run '^$$' -bench . -benchmem ./...

generate:
	go tool -modfile=tools/go.mod wire ./internal/core
	go generate ./internal/connection/peer
