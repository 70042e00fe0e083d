#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_load.h"
#include "fleet_measure.h"

#define LATENCY_RUNS 3
#define LATENCY_RATE 300.0 /* requests/s */
#define LATENCY_SECONDS 5.0
#define LATENCY_NODES 6
#define LATENCY_TARGET_MS 6.0
#define GOODPUT_SERVERS 4
#define GOODPUT_NODES 4
#define GOODPUT_SECONDS 5.0
#define GOODPUT_CALLERS 4	 /* threads */
#define GOODPUT_SHARE_TARGET 0.9 /* of the capacity: near it */
#define MS_PER_S 1000.0

void fleet_print_figure(const struct fleet_figure *f)
{
	printf("{\"measure\":\"%s\",\"deployment\":\"%s\",\"case\":\"%s\","
	       "\"value\":%.4f,\"unit\":\"%s\"",
	       f->measure, f->deployment, f->what, f->value, f->unit);
	if (f->target < 0)
		printf(",\"target\":null,\"met\":null");
	else
		printf(",\"target\":%.4f,\"met\":%s", f->target,
		       (f->at_least ? f->value >= f->target :
				      f->value <= f->target) ?
			       "true" :
			       "false");
	printf(",\"runs\":%u,\"load\":\"%s\"}\n", f->runs, f->load);
	fflush(stdout);
}

/* Fills in the addresses of the targets of one service. */
static void target_addresses(const struct fleet *f, const char *service,
			     const char **out)
{
	for (unsigned int i = 0; i < f->target_count; i++) {
		if (!strcmp(f->targets[i].service, service))
			*out++ = f->targets[i].process.address;
	}
	*out = NULL;
}

/* Runs one kind of request and returns p50 and p99 in ms. */
static void run_latency(const char **addresses, const struct fleet_kind *kind,
			double out[2])
{
	struct fleet_plan plan = {
		.addresses = addresses,
		.kinds = kind,
		.kind_count = 1,
		.concurrency = 200,
		.rate = LATENCY_RATE,
		.total = 100000,
		.seconds = LATENCY_SECONDS,
		.seed = 1,
	};
	g_autoptr(GArray) results = fleet_load_run(&plan);

	out[0] = fleet_quantile(results, -1, 0.5, NULL) * MS_PER_S;
	out[1] = fleet_quantile(results, -1, 0.99, NULL) * MS_PER_S;
}

static void print_latency(const struct fleet_deployment *d, const char *route,
			  const char *quantile, double value, double target)
{
	g_autofree char *what = g_strdup_printf("%s_%s", route, quantile);
	struct fleet_figure figure = {
		.measure = "added_latency",
		.deployment = d->name,
		.what = what,
		.value = value,
		.unit = "ms",
		.target = target,
		.runs = LATENCY_RUNS,
		.load = "300 requests/s for 5 s on 6 nodes; median of the runs",
	};

	fleet_print_figure(&figure);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double median(double *values, size_t n)
{
	qsort(values, n, sizeof(*values), compare_doubles);
	return values[n / 2];
}

static void measure_route(const struct fleet *f,
			  const struct fleet_deployment *d, unsigned int route)
{
	const struct fleet_route *r = &d->routes[route];
	struct fleet_kind kind = {
		.method = r->tries > 1 ? "GET" : "POST",
		.path = r->path,
		.bytes = 1000,
		.weight = 1,
		.timeout_s = 10.0,
	};
	const char *direct[FLEET_MAX];
	const char *entries[FLEET_MAX];
	double added[2][LATENCY_RUNS];

	target_addresses(f, r->service, direct);
	fleet_callers(f, entries);
	for (unsigned int i = 0; i < LATENCY_RUNS; i++) {
		double base[2];
		double through[2];

		run_latency(direct, &kind, base);
		run_latency(entries, &kind, through);
		added[0][i] = through[0] - base[0];
		added[1][i] = through[1] - base[1];
	}
	print_latency(d, r->name, "p50", median(added[0], LATENCY_RUNS),
		      FLEET_NO_TARGET);
	print_latency(d, r->name, "p99", median(added[1], LATENCY_RUNS),
		      LATENCY_TARGET_MS);
}

void fleet_measure_latency(const char *build, const struct fleet_deployment *d)
{
	struct fleet *f =
		fleet_start(build, d, FLEET_MAX, LATENCY_NODES, false);

	measure_route(f, d, 0);
	measure_route(f, d, 1);
	fleet_free(f);
}

static unsigned int sum_stat(const struct fleet *f, const char *service,
			     const char *name)
{
	unsigned int sum = 0;

	for (unsigned int i = 0; i < f->target_count; i++) {
		if (!strcmp(f->targets[i].service, service))
			sum += fleet_target_stat(&f->targets[i], name);
	}
	return sum;
}

static double nodes_cpu_s(const struct fleet *f)
{
	double sum = 0;

	for (unsigned int i = 0; i < f->node_count; i++)
		sum += fleet_cpu_s(f->nodes[i].process.pid);
	return sum;
}

static void run_goodput(const struct fleet *f, const struct fleet_deployment *d,
			unsigned int times)
{
	const struct fleet_route *r = &d->routes[1];
	const struct fleet_service *s = &d->services[1];
	double capacity = GOODPUT_SERVERS * d->slots * MS_PER_S / s->work_ms;
	struct fleet_kind kind = {"POST", r->path, 64, 1, 10.0, false};
	const char *entries[FLEET_MAX];
	struct fleet_plan plan = {
		.addresses = entries,
		.kinds = &kind,
		.kind_count = 1,
		.concurrency = 4000,
		.rate = capacity * times,
		.total = 100000,
		.seconds = GOODPUT_SECONDS,
		.seed = 2,
	};
	unsigned int overruns = sum_stat(f, s->name, "overruns");
	double cpu_s = nodes_cpu_s(f);
	g_autofree char *what = g_strdup_printf("%ux_capacity", times);
	g_autofree char *load = g_strdup_printf(
		"%.0f POST/s offered for 5 s to a capacity of %.0f/s",
		plan.rate, capacity);
	struct fleet_figure figure = {
		.deployment = d->name,
		.what = what,
		.runs = 1,
		.load = load,
	};
	g_autoptr(GArray) results = NULL;

	fleet_callers(f, entries);
	results = fleet_load_run_parallel(&plan, GOODPUT_CALLERS);
	figure.measure = "goodput";
	figure.value = fleet_good(results, -1) / GOODPUT_SECONDS / capacity;
	figure.unit = "share of capacity";
	figure.target = times > 1 ? GOODPUT_SHARE_TARGET : FLEET_NO_TARGET;
	figure.at_least = true;
	fleet_print_figure(&figure);
	figure.measure = "request_cpu";
	figure.value = (nodes_cpu_s(f) - cpu_s) / results->len * 1e6;
	figure.unit = "us of CPU per request, all nodes";
	figure.target = FLEET_NO_TARGET;
	fleet_print_figure(&figure);
	figure.measure = "slot_overrun";
	figure.value = sum_stat(f, s->name, "overruns") - overruns;
	figure.unit = "requests above the slots";
	figure.target = 0;
	figure.at_least = false;
	fleet_print_figure(&figure);
}

void fleet_measure_goodput(const char *build, const struct fleet_deployment *d)
{
	struct fleet *f =
		fleet_start(build, d, GOODPUT_SERVERS, GOODPUT_NODES, false);

	for (unsigned int times = 1; times <= 3; times++)
		run_goodput(f, d, times);
	fleet_free(f);
}
