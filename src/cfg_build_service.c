#include "cfg_build.h"

#include <math.h>

#define SLOTS_MAX 1000
#define QUEUE_MAX 4096
#define RETRY_PERCENT_DEFAULT 10
#define SLOW_START_DEFAULT_US (10 * FS_US_PER_S)
#define SLOW_START_MAX_MS 600000
#define PROBE_INTERVAL_DEFAULT_US (2 * FS_US_PER_S)
#define PROBE_INTERVAL_MIN_MS 100
#define PROBE_INTERVAL_MAX_MS 60000
#define OBJECTIVE_GOOD_DEFAULT 99.9
#define OBJECTIVE_DEFAULT_US (1 * FS_US_PER_S)
#define LATENCY_MAX_MS 600000

static const char *const detections[] = {"careful", "balanced", "quick"};

static void read_floor(struct cfg_build *b, const struct cfg_raw_service *from,
		       struct cfg_service *to)
{
	double percent = 0;

	if (!cfg_read_present(&b->r, "floor", from->floor))
		return;
	cfg_read_percent(&b->r, "floor", from->floor, 0, 100, &percent);
	to->floor = (uint32_t)ceil(percent * 10 - 1e-6);
}

static void read_objective(struct cfg_build *b,
			   const struct cfg_raw_objective *from,
			   struct cfg_service *to)
{
	double good = OBJECTIVE_GOOD_DEFAULT;

	to->objective_us = OBJECTIVE_DEFAULT_US;
	if (from) {
		cfg_read_percent(&b->r, "objective.good", from->good, 1, 99.999,
				 &good);
		cfg_read_ms(&b->r, "objective.latency_ms", from->latency_ms, 1,
			    LATENCY_MAX_MS, &to->objective_us);
	}
	to->objective_good = good / 100;
}

static void read_probe(struct cfg_build *b, const struct cfg_raw_probe *from,
		       struct cfg_service *to)
{
	to->probe_interval_us = PROBE_INTERVAL_DEFAULT_US;
	if (!from)
		return;
	cfg_read_ms(&b->r, "probe.interval_ms", from->interval_ms,
		    PROBE_INTERVAL_MIN_MS, PROBE_INTERVAL_MAX_MS,
		    &to->probe_interval_us);
	if (from->path && cfg_read_path(&b->r, "probe.path", from->path))
		to->probe_path = cfg_build_keep(b, from->path);
}

static void read_not_run(struct cfg_build *b,
			 const struct cfg_raw_service *from,
			 struct cfg_service *to)
{
	uint32_t count = from->not_run_status_count;

	to->not_run_status = g_new0(uint16_t, count);
	for (uint32_t i = 0; i < count; i++) {
		uint32_t status = 0;
		char key[32];

		g_snprintf(key, sizeof(key), "not_run_status[%u]", i);
		cfg_read_u32(&b->r, key, from->not_run_status[i], 400, 599, "",
			     &status);
		to->not_run_status[to->not_run_count++] = (uint16_t)status;
	}
}

static void read_service(struct cfg_build *b,
			 const struct cfg_raw_service *from,
			 struct cfg_service *to)
{
	uint32_t detection = CFG_DETECT_BALANCED;

	read_floor(b, from, to);
	if (cfg_read_present(&b->r, "slots", from->slots))
		cfg_read_u32(&b->r, "slots", from->slots, 1, SLOTS_MAX,
			     "requests", &to->slots);
	to->queue = FS_QUEUE_DEFAULT;
	cfg_read_u32(&b->r, "queue", from->queue, 1, QUEUE_MAX, "requests",
		     &to->queue);
	cfg_read_word(&b->r, "detection", from->detection, detections,
		      G_N_ELEMENTS(detections), &detection);
	to->detection = (enum cfg_detection)detection;
	to->retry_percent = RETRY_PERCENT_DEFAULT;
	cfg_read_u32(&b->r, "retry_percent", from->retry_percent, 0, 100,
		     "per cent", &to->retry_percent);
	to->slow_start_us = SLOW_START_DEFAULT_US;
	cfg_read_ms(&b->r, "slow_start_ms", from->slow_start_ms, 0,
		    SLOW_START_MAX_MS, &to->slow_start_us);
	cfg_read_bool(&b->r, "leaving", from->leaving, &to->leaving);
	read_objective(b, from->objective, to);
	read_probe(b, from->probe, to);
	read_not_run(b, from, to);
}

void cfg_build_services(struct cfg_build *b)
{
	const struct cfg_raw *raw = b->raw;
	struct cfg *cfg = b->cfg;

	cfg->services = g_new0(struct cfg_service, raw->services_count);
	for (handle i = 0; i < raw->services_count; i++) {
		const struct cfg_raw_service *from = &raw->services[i];
		struct cfg_service *to = &cfg->services[i];

		cfg->service_count++;
		cfg_reader_at(&b->r, "services[%u]", i);
		to->name = cfg_build_keep(b, from->name);
		if (cfg_read_name(&b->r, "name", from->name, FS_NAME_MAX) &&
		    !cfg_build_index(cfg->service_index, to->name, i))
			cfg_problem(&b->r, "name",
				    "service %s is there twice; give each its "
				    "own name",
				    to->name);
		read_service(b, from, to);
		cfg_build_servers(b, i);
	}
}
