#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fleet_http.h"
#include "fleet_measure.h"

#define CONTROL_SERVERS 2
#define CONTROL_SECONDS 15.0
#define SETTLE_SECONDS 5.0
#define CPU_TARGET 1.3	     /* percent of a core */
#define RSS_TARGET 32.0	     /* MB */
#define BYTES_TARGET 19000.0 /* bytes/s */
#define IN_FORCE_TARGET 6.0  /* s */
#define KB_PER_MB 1024.0

static const unsigned int sizes[] = {16, 32, 48};

/* What is read of all nodes at one moment. */
struct sample {
	double cpu_s;
	double bytes;
	double rss_mb; /* of the largest node */
	double platform_calls;
};

double fleet_cpu_s(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/stat", (int)pid);
	g_autofree char *text = NULL;
	unsigned long user = 0;
	unsigned long system = 0;
	const char *at;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	at = strrchr(text, ')');
	if (!at || sscanf(at + 1,
			  " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu "
			  "%lu",
			  &user, &system) != 2)
		return 0;
	return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

static double rss_of(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/status", (int)pid);
	g_autofree char *text = NULL;
	const char *at;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	at = strstr(text, "VmRSS:");
	return at ? strtod(at + 6, NULL) / KB_PER_MB : 0;
}

/* Sums the counters of a node whose names end with a suffix. */
static double counter_sum(const struct fleet_node *node, const char *suffix)
{
	JsonNode *root = fleet_json(node->operator, "/counters");
	JsonObject *counters;
	g_autoptr(GList) names = NULL;
	double sum = 0;

	g_assert_nonnull(root);
	counters = json_object_get_object_member(json_node_get_object(root),
						 "counters");
	names = json_object_get_members(counters);
	for (GList *at = names; at; at = at->next) {
		if (g_str_has_suffix(at->data, suffix))
			sum += (double)json_object_get_int_member(counters,
								  at->data);
	}
	json_node_unref(root);
	return sum;
}

static struct sample take_sample(const struct fleet *f)
{
	struct sample s = {0};
	JsonNode *stats = fleet_json(f->platform.address, "/stats");

	for (unsigned int i = 0; i < f->node_count; i++) {
		const struct fleet_node *node = &f->nodes[i];

		if (!node->process.pid)
			continue;
		s.cpu_s += fleet_cpu_s(node->process.pid);
		s.rss_mb = MAX(s.rss_mb, rss_of(node->process.pid));
		s.bytes += counter_sum(node, "_sent_bytes") +
			   counter_sum(node, "_received_bytes");
	}
	s.platform_calls = (double)(fleet_json_int(stats, "reads", 0) +
				    fleet_json_int(stats, "writes", 0) +
				    fleet_json_int(stats, "watches", 0));
	json_node_unref(stats);
	return s;
}

static void print_control(const struct fleet_deployment *d, unsigned int n,
			  const struct sample *a, const struct sample *b)
{
	g_autofree char *what = g_strdup_printf("%u_nodes", n);
	struct fleet_figure figure = {
		.deployment = d->name,
		.what = what,
		.runs = 1,
		.load = "idle fleet for 15 s, 2 servers a service",
	};

	figure.measure = "control_cpu";
	figure.value = (b->cpu_s - a->cpu_s) / n / CONTROL_SECONDS * 100;
	figure.unit = "% of a core per node";
	figure.target = CPU_TARGET;
	fleet_print_figure(&figure);
	figure.measure = "control_bytes";
	figure.value = (b->bytes - a->bytes) / n / CONTROL_SECONDS;
	figure.unit = "bytes/s per node, both ways";
	figure.target = BYTES_TARGET;
	fleet_print_figure(&figure);
	figure.measure = "rss";
	figure.value = b->rss_mb;
	figure.unit = "MB, largest node";
	figure.target = RSS_TARGET;
	fleet_print_figure(&figure);
	figure.measure = "platform_calls";
	figure.value =
		(b->platform_calls - a->platform_calls) / CONTROL_SECONDS;
	figure.unit = "calls/s of the whole fleet";
	figure.target = FLEET_NO_TARGET;
	fleet_print_figure(&figure);
}

static bool in_force(const struct fleet *f)
{
	for (unsigned int i = 0; i < f->node_count; i++) {
		JsonNode *status;
		gint64 version;

		if (!f->nodes[i].process.pid)
			continue;
		status = fleet_json(f->nodes[i].operator, "/status");
		version = status ? fleet_json_int(status, "config.version", 0) :
				   0;
		if (status)
			json_node_unref(status);
		if (version != (gint64)f->version)
			return false;
	}
	return true;
}

/* Kills a node that waits on the platform for the configuration. */
static void kill_watcher(struct fleet *f)
{
	for (unsigned int i = 0; i < f->node_count; i++) {
		JsonNode *status = fleet_json(f->nodes[i].operator, "/status");
		JsonObject *config = json_object_get_object_member(
			json_node_get_object(status), "config");
		bool watching =
			json_object_get_boolean_member(config, "watching");

		json_node_unref(status);
		if (watching) {
			fleet_kill(&f->nodes[i].process);
			return;
		}
	}
}

static void measure_in_force(struct fleet *f, const struct fleet_deployment *d,
			     unsigned int n)
{
	g_autofree char *text = fleet_deploy_text(f, d);
	g_auto(GStrv) parts = g_strsplit(text, "deadline_ms: 5000", 2);
	g_autofree char *edit = g_strjoinv("deadline_ms: 5100", parts);
	g_autofree char *what = g_strdup_printf("%u_nodes_one_watcher_lost", n);
	struct fleet_figure figure = {
		.measure = "config_in_force",
		.deployment = d->name,
		.what = what,
		.unit = "s, read from every node in turn",
		.target = IN_FORCE_TARGET,
		.runs = 1,
		.load = "idle fleet; the watcher was killed just before",
	};
	gint64 start;

	kill_watcher(f);
	g_assert_cmpint(fleet_put_config(f, edit), ==, 0);
	start = g_get_monotonic_time();
	while (!in_force(f) &&
	       g_get_monotonic_time() - start < 30 * G_USEC_PER_SEC)
		fleet_sleep(0.01);
	figure.value = (double)(g_get_monotonic_time() - start) / 1e6;
	fleet_print_figure(&figure);
}

void fleet_measure_control(const char *build, const struct fleet_deployment *d)
{
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet *f =
			fleet_start(build, d, CONTROL_SERVERS, sizes[i], false);
		struct sample before;
		struct sample after;

		fleet_sleep(SETTLE_SECONDS);
		before = take_sample(f);
		fleet_sleep(CONTROL_SECONDS);
		after = take_sample(f);
		print_control(d, sizes[i], &before, &after);
		measure_in_force(f, d, sizes[i]);
		fleet_free(f);
	}
}
