# Targets: all, demo, check, bench, lint, format, install, clean, proto.
# Sources are found by directory: a new file in a package needs no edit here.

CC ?= cc
BUILD ?= build
PREFIX ?= /usr/local
DESTDIR ?=
SAN ?=
DEPS := libuv jansson libprotobuf-c libxxhash popt openssl libcurl
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-Wmissing-prototypes -Wpointer-arith
PKGS := base wire config state policy jobs ports jobd daemon cli

ifneq ($(SAN),)
SANFLAGS := -fsanitize=address,undefined -fno-sanitize-recover=all \
	-fno-omit-frame-pointer
endif

CPPFLAGS += -D_GNU_SOURCE -DH2O_USE_LIBUV=1 -Iinclude \
	$(addprefix -Ipackages/,$(PKGS)) -Iplatform -Istandins -Itests
CFLAGS += -std=gnu11 -O2 -g $(WARN) $(SANFLAGS) -MMD -MP
LDFLAGS += $(SANFLAGS)
LIBS = -lh2o -luv -lhttp_parser -lssl -lcrypto -lprotobuf-c -ljansson -lxxhash -lpopt -lcurl -lm -lpthread

src = $(wildcard packages/$(1)/*.c)
obj = $(patsubst %.c,$(BUILD)/%.o,$(call src,$(1)))

LIB_OBJS := $(foreach p,base config state policy,$(call obj,$(p)))
# The code of the daemon and the command-line tool that is not part of the
# public library, as an archive that tests and benchmarks can link.
NODE_OBJS := $(foreach p,wire jobs ports jobd,$(call obj,$(p))) \
	$(patsubst %.c,$(BUILD)/%.o,$(wildcard platform/*.c))
DAEMON_OBJS := $(filter-out %/main.o,$(call obj,daemon))
CLI_OBJS := $(filter-out %/main.o,$(call obj,cli))

LIB := $(BUILD)/libcuminwalk.a
NODELIB := $(BUILD)/libcwnode.a
STANDINS := $(patsubst standins/%_main.c,$(BUILD)/standin-%,$(wildcard standins/*_main.c))
STANDIN_OBJS := $(patsubst %.c,$(BUILD)/%.o,$(filter-out %_main.c,$(wildcard standins/*.c)))
TESTS := $(patsubst tests/%.c,$(BUILD)/%,$(wildcard tests/test_*.c))
TEST_OBJS := $(patsubst %.c,$(BUILD)/%.o,$(filter-out tests/test_%,$(wildcard tests/*.c)))
TESTLIB := $(if $(TEST_OBJS),$(BUILD)/libcwtest.a)
BENCHES := $(patsubst bench/%.c,$(BUILD)/%,$(wildcard bench/bench_*.c))
BENCH_OBJS := $(patsubst %.c,$(BUILD)/%.o,$(filter-out bench/bench_%,$(wildcard bench/*.c)))
EXAMPLES := $(patsubst examples/%.c,$(BUILD)/example-%,$(wildcard examples/*.c))
BINS := $(if $(wildcard packages/daemon/main.c),$(BUILD)/cuminwalkd) \
	$(if $(wildcard packages/cli/main.c),$(BUILD)/cuminwalk)

all: $(LIB) $(NODELIB) $(BINS) $(STANDINS) $(TESTS) $(BENCHES) $(EXAMPLES)

programs: $(BINS)

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(CFLAGS) -c -o $@ $<

# Generated protobuf-c code is compiled without the warnings of hand-written code.
$(BUILD)/packages/wire/%.pb-c.o: WARN :=

$(LIB): $(LIB_OBJS)
	rm -f $@ && ar rcs $@ $^

$(NODELIB): $(NODE_OBJS) $(DAEMON_OBJS) $(CLI_OBJS)
	rm -f $@ && ar rcs $@ $^

# An archive, so that the linker takes only the helpers that a program uses.
$(BUILD)/libcwtest.a: $(TEST_OBJS)
	rm -f $@ && ar rcs $@ $^

$(BUILD)/cuminwalkd: $(BUILD)/packages/daemon/main.o $(NODELIB) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/cuminwalk: $(BUILD)/packages/cli/main.o $(NODELIB) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/standin-%: $(BUILD)/standins/%_main.o $(STANDIN_OBJS) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/test_%: $(BUILD)/tests/test_%.o $(TESTLIB) $(NODELIB) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS) -lcmocka

$(BUILD)/bench_%: $(BUILD)/bench/bench_%.o $(BENCH_OBJS) $(TESTLIB) $(NODELIB) $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(BUILD)/example-%: $(BUILD)/examples/%.o $(LIB)
	$(CC) $(LDFLAGS) -o $@ $^ -ljansson -lxxhash -lm

print-libs:
	@echo $(LIBS)

proto:
	cd packages/wire && protoc-c --c_out=. cw_wire.proto

deps:
	@./scripts/install-deps

demo: deps
	@$(MAKE) --no-print-directory -s all
	@./scripts/demo

check: deps
	@$(MAKE) --no-print-directory -s all
	@BUILD=$(BUILD) ./scripts/run-tests

bench: deps
	@$(MAKE) --no-print-directory -s all >&2
	@BUILD=$(BUILD) ./scripts/run-bench

lint: deps
	@./scripts/lint

format:
	clang-format -i $$(./scripts/list-sources)

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig \
		$(DESTDIR)$(PREFIX)/include $(DESTDIR)$(PREFIX)/share/man/man1 \
		$(DESTDIR)$(PREFIX)/share/man/man8
	install -m 755 $(BINS) $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIB) $(DESTDIR)$(PREFIX)/lib
	install -m 644 include/cuminwalk.h $(DESTDIR)$(PREFIX)/include
	sed 's|@PREFIX@|$(PREFIX)|' cuminwalk.pc.in \
		> $(DESTDIR)$(PREFIX)/lib/pkgconfig/cuminwalk.pc
	for m in $(wildcard man/*.1); do \
		install -m 644 $$m $(DESTDIR)$(PREFIX)/share/man/man1; done
	for m in $(wildcard man/*.8); do \
		install -m 644 $$m $(DESTDIR)$(PREFIX)/share/man/man8; done

clean:
	rm -rf build build-san target

.PHONY: all programs print-libs proto deps demo check bench lint format install clean
.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
