/* Goodput of the admission policy in virtual time, beside a policy without it:
 * a shard of 8 servers with 4 slots each, and more and more load. */
#include <math.h>
#include <string.h>

#include "que.h"
#include "slt.h"

#define SERVERS 8
#define SLOTS 4
#define QUEUE 64
#define NAIVE_QUEUE 100000
#define MEAN_US 40000.0	   /* a request holds a slot */
#define DEADLINE_US 400000 /* of every request */
#define REQUESTS 20000

/** One request of the simulation. */
struct job {
	struct que_item item;
	int64_t deadline_us;
	int64_t service_us;
	uint32_t server;
	int64_t ends_us;
};

struct sim {
	GRand *random;
	bool naive; /* no admission, and late requests are run */
	struct slt_server servers[SERVERS];
	struct slt_times hold;
	struct slt_times route;
	struct que que;
	GPtrArray *running; /* struct job */
	struct job *jobs;
	uint32_t good;
	uint32_t refused;
	uint32_t wasted; /* ended past their deadline */
	uint32_t overrun;
};

static int64_t exponential(GRand *random, double mean)
{
	return (int64_t)(-mean * log(1.0 - g_rand_double(random))) + 1;
}

static bool any(void *arg, const struct que_item *item)
{
	(void)arg;
	(void)item;
	return true;
}

static void start_waiting(struct sim *s, int64_t now_us)
{
	struct que_item *item;

	while ((item = que_first(&s->que, any, NULL))) {
		struct job *job = (struct job *)((char *)item -
						 offsetof(struct job, item));
		uint32_t i = slt_choose(s->servers, SERVERS, 0, 0);
		int64_t left_us = job->deadline_us - now_us;

		if (i == FS_NONE)
			return;
		que_remove(&s->que, item);
		if (!s->naive &&
		    slt_wait_too_long(slt_service_time(&s->route, DEADLINE_US),
				      left_us)) {
			s->refused++;
			continue;
		}
		job->server = i;
		job->ends_us = now_us + job->service_us;
		s->overrun += ++s->servers[i].in_flight > SLOTS;
		g_ptr_array_add(s->running, job);
	}
}

static void finish(struct sim *s, struct job *job)
{
	g_ptr_array_remove_fast(s->running, job);
	s->servers[job->server].in_flight--;
	slt_times_add(&s->hold, job->service_us);
	if (job->ends_us <= job->deadline_us) {
		s->good++;
		slt_times_add(&s->route, job->service_us);
	} else {
		s->wasted++;
	}
}

static void arrive(struct sim *s, struct job *job, int64_t now_us)
{
	struct slt_inputs n = {
		.waiting = s->que.count,
		.queue = s->naive ? NAIVE_QUEUE : QUEUE,
		.ahead = que_count_ahead(&s->que, CFG_PRIORITY_NORMAL),
		.usable = SERVERS * SLOTS,
		.free_slots = SERVERS * SLOTS - (int64_t)s->running->len,
		.hold_us = s->naive ? 0 : slt_times_mean(&s->hold),
		.service_time_us =
			s->naive ? 0 : slt_service_time(&s->route, DEADLINE_US),
		.remaining_us = DEADLINE_US,
	};

	job->deadline_us = now_us + DEADLINE_US;
	if (slt_admit(&n)) {
		s->refused++;
		return;
	}
	que_push(&s->que, &job->item, CFG_PRIORITY_NORMAL);
}

static struct job *next_end(const struct sim *s)
{
	struct job *first = NULL;

	for (guint i = 0; i < s->running->len; i++) {
		struct job *job = s->running->pdata[i];

		if (!first || job->ends_us < first->ends_us)
			first = job;
	}
	return first;
}

/* Returns good answers as a share of capacity. */
static double run(struct sim *s, double load, bool naive)
{
	double gap_us = MEAN_US / (SERVERS * SLOTS) / load;
	int64_t now_us = 0;
	struct job *job;

	memset(s, 0, sizeof(*s));
	s->naive = naive;
	s->random = g_rand_new_with_seed(7);
	s->running = g_ptr_array_new();
	s->jobs = g_new0(struct job, REQUESTS);
	for (uint32_t i = 0; i < SERVERS; i++)
		s->servers[i].allowed = SLOTS;
	for (uint32_t i = 0; i < REQUESTS; i++) {
		now_us += exponential(s->random, gap_us);
		while ((job = next_end(s)) && job->ends_us <= now_us) {
			int64_t at_us = job->ends_us;

			finish(s, job);
			start_waiting(s, at_us);
		}
		s->jobs[i].service_us = exponential(s->random, MEAN_US);
		arrive(s, &s->jobs[i], now_us);
		start_waiting(s, now_us);
	}
	g_ptr_array_unref(s->running);
	g_free(s->jobs);
	g_rand_free(s->random);
	return s->good * MEAN_US / (SERVERS * SLOTS) / (double)now_us;
}

/* Near capacity is taken as nine tenths of it. */
static void test_goodput_under_overload(void)
{
	static const double loads[] = {1.0, 2.0, 3.0};
	struct sim s;

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		double goodput = run(&s, loads[i], false);

		g_test_message("load %.0fx: goodput %.3f of capacity, wasted "
			       "%u, refused %u",
			       loads[i], goodput, s.wasted, s.refused);
		g_assert_cmpfloat(goodput, >=, 0.9);
		g_assert_cmpuint(s.overrun, ==, 0);
	}
}

/* The test can tell: without admission the goodput collapses. */
static void test_collapse_without_admission(void)
{
	struct sim s;
	double goodput = run(&s, 3.0, true);

	g_test_message("without admission: goodput %.3f, wasted %u", goodput,
		       s.wasted);
	g_assert_cmpfloat(goodput, <, 0.5);
}

/* A route that is slower than half of its deadline is not refused for ever. */
static void test_slow_route_is_admitted(void)
{
	struct slt_times route = {0};
	struct slt_inputs n = {.queue = 1, .usable = 1, .free_slots = 1};

	for (int i = 0; i < SLT_TIMES; i++)
		slt_times_add(&route, 5 * DEADLINE_US);
	n.service_time_us = slt_service_time(&route, DEADLINE_US);
	n.remaining_us = DEADLINE_US;
	g_assert_cmpint(slt_admit(&n), ==, 0);
	n.remaining_us = DEADLINE_US / 2;
	g_assert_cmpint(slt_admit(&n), ==, FS_E_WAIT_TOO_LONG);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/slt/goodput_under_overload",
			test_goodput_under_overload);
	g_test_add_func("/slt/collapse_without_admission",
			test_collapse_without_admission);
	g_test_add_func("/slt/slow_route_is_admitted",
			test_slow_route_is_admitted);
	return g_test_run();
}
