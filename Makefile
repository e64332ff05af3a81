MODULES := wire core node control ctl bench platform
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
PROGRAMS := $(sort $(dir $(wildcard */cmd/*/*.go)))

export CGO_ENABLED = 1

.PHONY: all build demo test unit lint format generate check-generated clean

all: build

# Writes the programs to bin/, linked to the C library as the VMs ask for: the Go
# linker alone leaves it out of programs that use no network.
build:
	@mkdir -p bin
	$(if $(PROGRAMS),go build -ldflags=-linkmode=external -o bin/ $(addprefix ./,$(PROGRAMS)))

# Runs all roles in one process on loopback and checks the promises.
demo: build
	bin/jujubeknot-bench demo

# Runs every test of every module.
test: unit

unit:
	go test $(PACKAGES)

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
