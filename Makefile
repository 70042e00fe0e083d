# Builds the daemon, the command-line tool, the stand-ins and the tests.
#
#   make            everything
#   make gateway    the users' platform's program alone
#   make test       all tests; closes with "N passed, N failed"
#   make test-sanitized  a part of them under ASan and UBSan
#   make soak SEED=7 SECONDS=60 NODES=6  gateways with faults from outside
#   make demo       one deployment in separate processes, for a look
#   make measure    figures as JSON lines
#   make check      formatter, linters, documentation
#   make ASAN=1 ... the same with AddressSanitizer and UBSan
#
# A file's name says what it is:
#   src/fescuesaddled.c, src/fescuesaddle.c   the two programs
#   src/*.c                                   the library both link
#   platform/*.c                              the users' platform: names, wire
#   tests/fleet*.c                            helpers for process tests
#   tests/standin_*.c                         stand-in programs
#   tests/unit_*.c                            GLib tests of one module
#   tests/prop_*.cpp                          property tests (RapidCheck)
#   tests/run_*.c                             GLib tests over real processes
#   tests/tool_*.c                            demo, measures
#   tests/soak/                               the fault soak, in Python
#   examples/*.c                              one feature each

# No built-in rules: they make make search for minutes.
MAKEFLAGS += -rR
CC := gcc
CXX := g++
AR := ar

comma := ,
ASAN ?=
BUILD ?= build$(if $(ASAN),-asan)
SAN := $(if $(ASAN),-fsanitize=address$(comma)undefined -fno-sanitize-recover=all)

PKGS := msgpack libmicrohttpd libcurl argtable2 glib-2.0 libcyaml \
	json-glib-1.0 yajl libxxhash libzstd
PKG_CFLAGS := $(patsubst -I%,-isystem %,$(shell pkg-config --cflags $(PKGS)))
LIBS := $(shell pkg-config --libs $(PKGS)) -lev -lm

WARN := -Wall -Wextra -Werror -Wshadow -Wvla -Wpointer-arith -Wformat=2
CWARN := $(WARN) -Wstrict-prototypes -Wmissing-prototypes -Wold-style-definition
CFLAGS := -std=gnu11 -O2 -g -fno-omit-frame-pointer -fno-strict-aliasing \
	-D_GNU_SOURCE -DG_LOG_USE_STRUCTURED -Isrc -Iplatform -Itests $(PKG_CFLAGS) $(SAN)
CXXFLAGS := -std=c++17 -O1 -g -D_GNU_SOURCE -Isrc -Itests $(PKG_CFLAGS) $(SAN)

MAINS := src/fescuesaddled.c src/fescuesaddle.c
LIB_SRC := $(filter-out $(MAINS),$(wildcard src/*.c))
FLEET_SRC := $(wildcard tests/fleet*.c)
PROG_SRC := $(wildcard tests/standin_*.c tests/unit_*.c tests/run_*.c \
	tests/tool_*.c)
EXAMPLE_SRC := $(wildcard examples/*.c)
PROP_SRC := $(wildcard tests/prop_*.cpp)

obj = $(patsubst %,$(BUILD)/%.o,$(1))
LIB := $(BUILD)/libfescuesaddle.a
FLEET := $(BUILD)/libfleet.a
PLF_SRC := $(filter-out platform/plf_main.c,$(wildcard platform/*.c))
PLF := $(BUILD)/libplatform.a
GATEWAY := $(BUILD)/fescuesaddle-gateway
PROGS := $(patsubst src/%.c,$(BUILD)/%,$(wildcard $(MAINS))) $(GATEWAY) \
	$(patsubst tests/%.c,$(BUILD)/%,$(PROG_SRC)) \
	$(patsubst examples/%.c,$(BUILD)/example_%,$(EXAMPLE_SRC)) \
	$(patsubst tests/%.cpp,$(BUILD)/%,$(PROP_SRC)) $(BUILD)/run_soak

# Where everything is built; the platform wants its own folder.
.PHONY: all gateway soak test test-sanitized demo measure check format format-check lint doc clean
.SECONDARY:
all: $(PROGS)

$(BUILD)/%.c.o: %.c
	@mkdir -p $(@D)
	@echo "  CC   $<"
	@$(CC) $(CFLAGS) $(CWARN) -MMD -MP -c $< -o $@

$(BUILD)/%.cpp.o: %.cpp
	@mkdir -p $(@D)
	@echo "  CXX  $<"
	@$(CXX) $(CXXFLAGS) $(WARN) -MMD -MP -c $< -o $@

$(LIB): $(call obj,$(LIB_SRC))
	@rm -f $@
	@$(AR) rcs $@ $^

$(FLEET): $(call obj,$(FLEET_SRC))
	@rm -f $@
	@$(AR) rcs $@ $^

$(PLF): $(call obj,$(PLF_SRC))
	@rm -f $@
	@$(AR) rcs $@ $^

# The users' platform: the daemon's tasks behind its protocol.
gateway: $(GATEWAY)

$(GATEWAY): $(BUILD)/platform/plf_main.c.o $(PLF) $(LIB)
	@$(CC) $(SAN) -o $@ $^ $(LIBS)

$(BUILD)/%: $(BUILD)/src/%.c.o $(LIB)
	@$(CC) $(SAN) -o $@ $^ $(LIBS)

$(BUILD)/%: $(BUILD)/tests/%.c.o $(FLEET) $(PLF) $(LIB)
	@$(CC) $(SAN) -o $@ $< $(FLEET) $(PLF) $(LIB) $(LIBS)

$(BUILD)/example_%: $(BUILD)/examples/%.c.o $(LIB)
	@$(CC) $(SAN) -o $@ $^ $(LIBS)

$(BUILD)/%: $(BUILD)/tests/%.cpp.o $(LIB)
	@$(CXX) $(SAN) -o $@ $^ -lrapidcheck $(LIBS)

$(BUILD)/run_soak: tests/run_soak.sh
	@install -m 755 $< $@

SEED ?= 1
SECONDS ?= 60
NODES ?= 6

soak: $(GATEWAY)
	python3 tests/soak/soak.py $(GATEWAY) --seed $(SEED) \
		--seconds $(SECONDS) --nodes $(NODES)

test: all
	tests/run_all.sh $(BUILD)

# A part of the tests under AddressSanitizer and UBSan: bad input, links,
# decoders, and daemons that are started, loaded and stopped.
SANITIZED := run_input run_stop unit_lnk unit_ent unit_ent_input unit_mem \
	unit_tgt unit_tgt_copies unit_dsp_once unit_dsp_stream unit_flr unit_aud unit_cfg \
	unit_gwy unit_gwy_copies unit_gwy_cut unit_gwy_framing unit_gwy_keys unit_gwy_late \
	unit_gwy_leave unit_gwy_reload unit_gwy_stop unit_gwy_ahead unit_gwy_slow \
	unit_gwy_deliver unit_gwy_heads \
	unit_hld \
	unit_dir unit_org unit_plf unit_plf_entries unit_plf_names \
	unit_plf_organisations \
	unit_fed unit_fed_restore unit_fed_peers unit_lod unit_policy_gateway \
	unit_lod_quota unit_lod_hubs unit_gwy_quota \
	prop_dir prop_msg prop_mem prop_cfg prop_flr

test-sanitized:
	$(MAKE) ASAN=1 $(addprefix build-asan/,fescuesaddled fescuesaddle \
		standin_platform standin_target standin_relay $(SANITIZED))
	tests/run_all.sh build-asan

demo: all
	$(BUILD)/tool_demo $(BUILD)

measure: all
	$(BUILD)/tool_measure $(BUILD)

SOURCES := $(wildcard src/*.[ch] platform/*.[ch] tests/*.[ch] tests/*.cpp examples/*.c)

check: format-check lint doc

format:
	clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run -Werror $(SOURCES)

TIDY := $(patsubst %,$(BUILD)/%.tidy,$(wildcard src/*.c platform/*.c tests/*.c examples/*.c))

$(BUILD)/%.tidy: % .clang-tidy $(wildcard src/*.h platform/*.h tests/*.h)
	@mkdir -p $(@D)
	@echo "  TIDY $<"
	@clang-tidy --quiet $< -- $(CFLAGS) -Wno-unknown-warning-option \
		2>$@.log || { cat $@.log; exit 1; }
	@touch $@

lint: $(TIDY)
	cppcheck --quiet --error-exitcode=1 --std=c11 --inline-suppr -j 8 \
		--enable=warning,performance,portability \
		--library=gtk --suppress=missingInclude -Isrc -Iplatform -Itests src platform tests examples

doc:
	@mkdir -p $(BUILD)
	doxygen docs/Doxyfile

clean:
	rm -rf build build-asan target

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
