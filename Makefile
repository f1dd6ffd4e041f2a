# gentianlatch -- one plain makefile
CC = gcc
CXX = g++
BUILD ?= build
MODE ?=
OPT ?= -O2 -g
WARN = -Wall -Wextra -Wshadow -Wno-unused-parameter -Wno-stringop-truncation
PKGS = libmicrohttpd libcurl log4c jansson inih gsl ck libxxhash
CPPFLAGS = -D_GNU_SOURCE -Isrc -Iproto -Istandin -I/usr/include/tirpc \
	$(shell pkg-config --cflags $(PKGS)) $(DEFS)
CFLAGS = -std=gnu11 $(OPT) $(WARN) $(MODE)
CXXFLAGS = -std=gnu++17 $(OPT) -Wall -Wextra -Wno-unused-parameter $(MODE)
LDLIBS = $(shell pkg-config --libs $(PKGS)) -ltirpc -lpthread -lm

CORE = pool timer metrics place conf codec fx jobs workers lease journal \
	snap policy sched view
GEN = gl_rec_xdr

CORE_O = $(CORE:%=$(BUILD)/src/%.o) $(GEN:%=$(BUILD)/proto/%.o)

all: $(CORE_O)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo CC $<; $(CC) $(CPPFLAGS) $(CFLAGS) -MMD -c -o $@ $<
$(BUILD)/%.o: %.cc
	@mkdir -p $(@D)
	@echo CXX $<; $(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -c -o $@ $<

$(BUILD)/proto/%.o $(BUILD)/t/proto/%.o: WARN = -Wno-unused-variable

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

# ---- tests ----
TFLAGS = -DGL_TEST_FAULTS -DRING_SLOTS=24 -DRING_SPARE=12 \
	-DSNAP_LOG_BYTES=1200 -DCHUNK_BYTES=700
TBUILD = $(BUILD)/t
T_CORE = $(CORE:%=$(TBUILD)/src/%.o) $(GEN:%=$(TBUILD)/proto/%.o) \
	$(TBUILD)/standin/kvcore.o $(TBUILD)/standin/wcore.o
$(TBUILD)/%.o: %.c
	@mkdir -p $(@D)
	@echo CC $<; $(CC) $(CPPFLAGS) $(TFLAGS) $(CFLAGS) -MMD -c -o $@ $<
$(TBUILD)/%.o: %.cc
	@mkdir -p $(@D)
	@echo CXX $<; $(CXX) $(CPPFLAGS) $(TFLAGS) $(CXXFLAGS) -MMD -c -o $@ $<

$(BUILD)/fuzz_sched: $(TBUILD)/tests/fuzz_sched.o $(TBUILD)/tests/sim.o $(T_CORE)
	@echo LD $@; $(CXX) $(MODE) -o $@ $^ -lgtest_main -lgtest -lrapidcheck $(LDLIBS)

asan:
	@$(MAKE) --no-print-directory BUILD=build-asan OPT="-O1 -g" MODE="-fsanitize=address,undefined -fno-sanitize-recover=undefined -fno-omit-frame-pointer" $(TARGET)
