MODULES := wire core node control ctl bench platform
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
PROGRAMS := $(sort $(dir $(wildcard */cmd/*/*.go)))

export CGO_ENABLED = 1

.PHONY: all build demo test unit lint format generate check-generated clean

all: build

# Builds the programs in bin/. The VMs require programs that are linked to the C
# library. The Go linker alone does not link it to programs without network use.
build:
	@mkdir -p bin
	$(if $(PROGRAMS),go build -ldflags=-linkmode=external -o bin/ $(addprefix ./,$(PROGRAMS)))

# Runs all roles in one process on loopback and checks the guarantees.
demo: build
	bin/jujubeknot-bench demo

# Runs all tests of all modules.
test: unit

# SKIP in the environment is a pattern of tests that are left out, see .ci/run.
unit:
	go test $${SKIP:+-skip "$$SKIP"} $(PACKAGES)

format:
	cd tools && go tool gofumpt -w $(addprefix ../,$(MODULES))

lint:
	tools/lint

generate:
	tools/generate

check-generated:
	tools/check-generated

clean:
	rm -rf bin out
