# Versions of the tools that CI installs, each in its own module graph, so
# that none of them is among the product's dependencies.
GOLANGCI_LINT=github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
GOFUMPT=mvdan.cc/gofumpt@v0.12.0
BENCHSTAT=golang.org/x/perf/cmd/benchstat@v0.0.0-20260908200009-22c9c6c9d4da
# For renames; CI does not run it.
GOPLS=golang.org/x/tools/gopls@v0.23.0
