/* Figures of the membership protocol from virtual time, as JSON lines: bytes
 * and datagrams that a node sends when nothing happens, the time until a
 * killed node is out of use everywhere, and until a new configuration version
 * is known everywhere. Simulated: no sockets, 2 ms one way. */
#include <stdio.h>

#include "mem_sim.h"

#define IDLE_S 60
#define WARM_UP_MS 300000
#define RUNS 5
#define CONFIG_TARGET_MS 6000
#define BYTES_TARGET 19000

static void print_figure(const char *measure, const char *what, uint32_t nodes,
			 double value, const char *unit, double target)
{
	printf("{\"measure\":\"%s\",\"deployment\":null,\"case\":\"%s, "
	       "simulated, %u nodes, %d runs\",\"value\":%.1f,\"unit\":\"%s\"",
	       measure, what, nodes, RUNS, value, unit);
	if (target > 0)
		printf(",\"target\":%.0f,\"met\":%s}\n", target,
		       value <= target ? "true" : "false");
	else
		printf(",\"target\":null,\"met\":null}\n");
	fflush(stdout);
}

static void sum(const struct sim *sim, uint64_t *bytes, uint64_t *datagrams)
{
	*bytes = 0;
	*datagrams = 0;
	for (uint32_t i = 0; i < sim->count; i++) {
		*bytes += sim->nodes[i].bytes;
		*datagrams += sim->nodes[i].datagrams;
	}
}

static void measure_idle(struct sim *sim)
{
	uint64_t bytes, datagrams, bytes_after, datagrams_after;

	sim_run(sim, WARM_UP_MS);
	sum(sim, &bytes, &datagrams);
	sim_run(sim, IDLE_S * 1000);
	sum(sim, &bytes_after, &datagrams_after);
	print_figure("control_bytes", "membership sent with IP and UDP headers",
		     sim->count,
		     (double)(bytes_after - bytes) / sim->count / IDLE_S, "B/s",
		     BYTES_TARGET);
	print_figure("control_messages", "membership sent", sim->count,
		     (double)(datagrams_after - datagrams) / sim->count /
			     IDLE_S,
		     "1/s", 0);
}

/* Returns the longest of the runs. */
static void measure_kills(struct sim *sim)
{
	int64_t longest_ms = 0;
	uint64_t bytes, bytes_after, datagrams;

	sum(sim, &bytes, &datagrams);
	for (uint32_t run = 0; run < RUNS; run++) {
		uint32_t victim = 3 + (uint32_t)sim_random(sim) % 12;
		int64_t start = sim->now_ms;

		sim->nodes[victim].down = true;
		while (sim_count_state(sim, victim, MEM_ALIVE))
			sim_run(sim, 100);
		longest_ms = MAX(longest_ms, sim->now_ms - start);
		sim_run(sim, 20000);
		sim_start(sim, victim, 9000000 + run);
		sim_converge(sim, 60000);
		sim_run(sim, 10000);
	}
	sum(sim, &bytes_after, &datagrams);
	print_figure("node_detection_time",
		     "a killed node is out of use at all"
		     " others, longest",
		     sim->count, (double)longest_ms, "ms", 0);
	print_figure("control_bytes",
		     "membership sent for one node killed and "
		     "started again, beyond idle not deducted",
		     sim->count,
		     (double)(bytes_after - bytes) / sim->count / RUNS, "B", 0);
}

static bool config_known(const struct sim *sim, uint32_t first,
			 uint64_t version)
{
	for (uint32_t i = 0; i < sim->count; i++)
		if (i != first && sim->nodes[i].config_due != version)
			return false;
	return true;
}

static void measure_config(struct sim *sim)
{
	int64_t longest_ms = 0;

	for (uint64_t version = 1; version <= RUNS; version++) {
		uint32_t first = (uint32_t)sim_random(sim) % sim->count;
		int64_t start = sim->now_ms;

		mem_core_set_config(sim->nodes[first].core, version,
				    sim_us(sim));
		while (!config_known(sim, first, version) &&
		       sim->now_ms - start < 10 * CONFIG_TARGET_MS)
			sim_run(sim, 10);
		longest_ms = MAX(longest_ms, sim->now_ms - start);
		sim_run(sim, 10000);
	}
	print_figure("config_in_force",
		     "a version is known at all nodes, "
		     "20 ms for its text, longest",
		     sim->count, (double)longest_ms, "ms", CONFIG_TARGET_MS);
}

/* Processor time of this process for each datagram sent or received, both
 * ends together, without the signature and the system calls. */
static void measure_cpu(struct sim *sim)
{
	uint64_t bytes, datagrams, datagrams_after;
	int64_t start_us = g_get_monotonic_time();

	sum(sim, &bytes, &datagrams);
	sim_run(sim, IDLE_S * 1000);
	sum(sim, &bytes, &datagrams_after);
	print_figure("control_cpu", "state machine, ticks and datagrams",
		     sim->count,
		     (double)(g_get_monotonic_time() - start_us) / sim->count /
			     IDLE_S,
		     "us/s", 13000);
}

int main(void)
{
	static const uint32_t sizes[] = {16, 48, 128, 410};

	for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct sim *sim = sim_new(sizes[i], 2, 3, 7);

		sim_converge(sim, 120000);
		measure_idle(sim);
		measure_cpu(sim);
		measure_kills(sim);
		measure_config(sim);
		sim_free(sim);
	}
	return 0;
}
