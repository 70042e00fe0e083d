/* A target's limit on the requests of a whole fleet, in virtual time: nodes that
 * learn of each other's sends late, few and many of them, and demand far above. */
#include <string.h>

#include "lim.h"

#define MS FS_US_PER_MS
#define SECOND FS_US_PER_S
#define NODES_MAX 442
#define DELAY_US (400 * MS) /* until a send is known everywhere */
#define WINDOW_US (4 * SECOND)
#define DAY_US (60 * SECOND)
#define TICK_US (5 * MS)
#define SENDS_MAX 65536

/** A fleet and the sends of it to one target. */
struct scene {
	struct lim nodes[NODES_MAX];
	uint32_t node_count;
	double per_s;
	double demand;	  /* requests a second for the service, of all nodes */
	uint32_t waiting; /* requests that draw again and again */
	bool reported;
	uint64_t random;
	int64_t sends[SENDS_MAX];
	uint32_t senders[SENDS_MAX];
	uint32_t send_count;
	uint32_t told; /* sends that all nodes know of */
};

static struct scene s;

static void begin(uint32_t nodes, double per_s, double demand)
{
	const struct stm stm = {.limit = STM_LIMIT_NAMED, .limit_per_s = per_s};

	memset(&s, 0, sizeof(s));
	s.node_count = nodes;
	s.per_s = per_s;
	s.demand = demand;
	s.reported = true;
	s.random = 11;
	for (uint32_t i = 0; i < nodes; i++)
		g_assert_true(lim_state(&s.nodes[i], &stm, 1, 1));
}

static double next_fraction(void)
{
	return (double)(fs_random(&s.random) >> 11) / (double)(1ULL << 53);
}

static void try_send(uint32_t node, uint64_t draw, int64_t now_us)
{
	const struct lim_query query = {
		.rate = s.demand,
		.waiting = s.waiting,
		.delay_us = DELAY_US,
		.reported = s.reported,
		.draw = draw,
	};

	if (!lim_allows(&s.nodes[node], &query, now_us))
		return;
	g_assert_cmpuint(s.send_count, <, SENDS_MAX);
	lim_send(&s.nodes[node], now_us);
	s.senders[s.send_count] = node;
	s.sends[s.send_count++] = now_us;
}

static void tell_all(int64_t now_us)
{
	while (s.reported && s.told < s.send_count &&
	       s.sends[s.told] + DELAY_US <= now_us) {
		for (uint32_t i = 0; i < s.node_count; i++)
			lim_report(&s.nodes[i], 1, i == s.senders[s.told],
				   now_us);
		s.told++;
	}
}

static uint64_t draw_of(uint32_t request, int64_t now_us)
{
	uint64_t state = (uint64_t)request * 1000003 +
			 (uint64_t)(now_us / DELAY_US) * 7919;

	return fs_random(&state);
}

static void play(void)
{
	double due = 0;

	for (int64_t now_us = TICK_US; now_us < DAY_US; now_us += TICK_US) {
		uint32_t callers;

		tell_all(now_us);
		due += s.demand * TICK_US / SECOND;
		callers = (uint32_t)(2 * MAX(due, 0) * next_fraction());
		due -= callers;
		for (uint32_t i = 0; i < callers; i++)
			try_send(
				(uint32_t)(fs_random(&s.random) % s.node_count),
				fs_random(&s.random), now_us);
		for (uint32_t i = 0; i < s.waiting; i++)
			try_send(i % s.node_count, draw_of(i, now_us), now_us);
	}
}

/* Returns the most sends in any span of WINDOW_US. */
static uint32_t busiest_window(void)
{
	uint32_t most = 0;
	uint32_t first = 0;

	for (uint32_t i = 0; i < s.send_count; i++) {
		while (s.sends[i] - s.sends[first] > WINDOW_US)
			first++;
		most = MAX(most, i - first + 1);
	}
	return most;
}

static void check(void)
{
	double window_s = (double)WINDOW_US / SECOND;
	double day_s = (double)DAY_US / SECOND;

	g_test_message("%u nodes, %.2f/s of %.0f/s: %u sends, %u in a window",
		       s.node_count, s.per_s, s.demand, s.send_count,
		       busiest_window());
	g_assert_cmpfloat(busiest_window(), <=, 1.5 * s.per_s * window_s + 5.0);
	g_assert_cmpfloat(s.send_count, <=, 1.1 * s.per_s * day_s + 5.0);
}

/* Guards against nodes that each take a share of a limit below one a second, or
 * learn of the others' sends too late: any size, any limit, demand far above. */
static void test_fleet_keeps_the_limit(void)
{
	static const uint32_t nodes[] = {1, 16, 48, 136, 442};
	static const double limits[] = {0.5, 1, 3, 8, 40};
	static const double demands[] = {24, 200, 800};

	for (size_t n = 0; n < G_N_ELEMENTS(nodes); n++) {
		for (size_t l = 0; l < G_N_ELEMENTS(limits); l++) {
			for (size_t d = 0; d < G_N_ELEMENTS(demands); d++) {
				begin(nodes[n], limits[l], demands[d]);
				play();
				check();
				/* What the target takes is used. */
				if (demands[d] > 2 * limits[l])
					g_assert_cmpfloat(s.send_count, >=,
							  0.6 * limits[l] *
								  DAY_US /
								  SECOND);
			}
		}
	}
}

/* Requests that wait draw again every few milliseconds: guards against a crowd that
 * gets through by asking often. */
static void test_waiting_requests(void)
{
	begin(48, 2, 24);
	s.waiting = 300;
	play();
	check();
}

/* No node hears of the others. */
static void test_without_reports(void)
{
	static const double limits[] = {1, 4, 8};

	for (size_t l = 0; l < G_N_ELEMENTS(limits); l++) {
		begin(48, limits[l], 24);
		s.reported = false;
		play();
		check();
	}
}

/* A target that takes nothing is asked at times whether that still holds. */
static void test_limit_of_nothing(void)
{
	begin(48, 0, 24);
	play();
	g_assert_cmpuint(busiest_window(), <=, 5);
	g_assert_cmpuint(s.send_count, >=, 2);
}

static void test_newest_statement_holds(void)
{
	const struct stm one = {.limit = STM_LIMIT_NAMED, .limit_per_s = 1};
	const struct stm none = {.limit = STM_LIMIT_NONE};
	const struct stm silent = {0};
	struct lim lim = {0};
	const struct lim_query query = {.rate = 24, .reported = true};

	g_assert_true(lim_allows(&lim, &query, SECOND));
	g_assert_true(lim_state(&lim, &one, 5, SECOND));
	g_assert_false(lim_state(&lim, &one, 6, SECOND));
	g_assert_false(lim_allows(&lim, &query, SECOND));
	g_assert_false(lim_state(&lim, &none, 4, SECOND));
	g_assert_false(lim_state(&lim, &silent, 7, SECOND));
	g_assert_true(lim.named);
	g_assert_true(lim_state(&lim, &none, 7, SECOND));
	g_assert_true(lim_allows(&lim, &query, SECOND));
}

/* Peers tell of a limit in thousandths: guards against a change, and a log line, with
 * each answer of a target that names more digits. */
static void test_rounded_limit_is_no_change(void)
{
	const struct stm exact = {.limit = STM_LIMIT_NAMED,
				  .limit_per_s = 1.0 / 3.0};
	const struct stm rounded = {.limit = STM_LIMIT_NAMED,
				    .limit_per_s = 0.333};
	struct lim lim = {0};

	g_assert_true(lim_state(&lim, &exact, 1, SECOND));
	g_assert_false(lim_state(&lim, &rounded, 2, SECOND));
	g_assert_false(lim_state(&lim, &exact, 3, SECOND));
}

/* A burst that crossed on the way is taken from the time after it. */
static void test_debt_is_paid(void)
{
	const struct stm one = {.limit = STM_LIMIT_NAMED, .limit_per_s = 1};
	const struct lim_query query = {.reported = true};
	struct lim lim = {0};

	lim_state(&lim, &one, 0, 0);
	lim_report(&lim, 6, false, 0);
	g_assert_false(lim_allows(&lim, &query, 6 * SECOND));
	g_assert_true(lim_allows(&lim, &query, 7 * SECOND));
}

/* Its own sends come back in the reports of a node's domain. */
static void test_own_sends_count_once(void)
{
	const struct stm one = {.limit = STM_LIMIT_NAMED, .limit_per_s = 1};
	struct lim lim = {0};

	lim_state(&lim, &one, 0, 0);
	lim_send(&lim, SECOND);
	lim_send(&lim, SECOND);
	lim_report(&lim, 3, true, SECOND);
	g_assert_cmpfloat(lim.level, ==, -2);
	g_assert_cmpuint(lim.unreported, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/lim/fleet_keeps_the_limit",
			test_fleet_keeps_the_limit);
	g_test_add_func("/lim/waiting_requests", test_waiting_requests);
	g_test_add_func("/lim/without_reports", test_without_reports);
	g_test_add_func("/lim/limit_of_nothing", test_limit_of_nothing);
	g_test_add_func("/lim/newest_statement_holds",
			test_newest_statement_holds);
	g_test_add_func("/lim/rounded_limit_is_no_change",
			test_rounded_limit_is_no_change);
	g_test_add_func("/lim/debt_is_paid", test_debt_is_paid);
	g_test_add_func("/lim/own_sends_count_once", test_own_sends_count_once);
	return g_test_run();
}
