/* Decisions of a gateway in virtual time, one test a pattern of load or fault:
 * which target gets a request (bal), which is gray (gry), what may be sent
 * again (bud). No network, no clock. */
#include <string.h>

#include "bal.h"
#include "bud.h"

#define MS FS_US_PER_MS
#define SECOND FS_US_PER_S
#define MEAN_US (300 * MS)
#define ROUNDS 400 /* choices made to see where work goes */

static const struct bud_rule rule = {
	.ratio = 0.2,
	.slack = 62,
	.window_us = 10 * SECOND,
};

/** A service and how often each of its targets was chosen. */
struct scene {
	struct dir *dir;
	struct bal_query wish;
	int chosen[16];
	int total;
};

static void scene_begin(struct scene *s)
{
	memset(s, 0, sizeof(*s));
	s->dir = dir_new(g_free);
	s->wish = (struct bal_query){
		.domain = "here",
		.mean_us = MEAN_US,
		.failure_cost_us = 4 * SECOND,
		.cross_domain_cost_us = 120 * MS,
		.rate = 10,
		.domain_share = 1.0,
		.now_us = 100 * SECOND,
	};
}

static struct dir_target *add(struct scene *s, int number, const char *domain)
{
	struct dir_entry e = {.rev.number = 1, .write.born = 1, .slots = 4};

	g_snprintf(e.id, sizeof(e.id), "%d", number);
	g_strlcpy(e.service, "pay", sizeof(e.service));
	g_strlcpy(e.address, "127.0.0.1:1", sizeof(e.address));
	g_strlcpy(e.domain, domain, sizeof(e.domain));
	dir_put(s->dir, &e, 0);
	bal_target_get(dir_target_find(s->dir, e.id), 0)->sent_us =
		s->wish.now_us;
	bal_target_get(dir_target_find(s->dir, e.id), 0)->gry.has_outcome =
		true;
	return dir_target_find(s->dir, e.id);
}

static void note(const struct scene *s, struct dir_target *target,
		 enum gry_outcome outcome)
{
	gry_record_outcome(&bal_target_get(target, 0)->gry, outcome, 1.0,
			   s->wish.now_us);
}

static void run(struct scene *s)
{
	memset(s->chosen, 0, sizeof(s->chosen));
	s->total = 0;
	for (uint64_t i = 1; i <= ROUNDS; i++) {
		struct bal_choice choice;

		s->wish.random = i * 0x9e3779b97f4a7c15ULL;
		choice = bal_choose(dir_find(s->dir, "pay"), &s->wish);
		if (!choice.target)
			continue;
		s->chosen[atoi(choice.target->entry.id)]++;
		s->total++;
	}
}

/* Calm: equal targets share the work. */
static void test_calm_work_is_shared(void)
{
	struct scene s;

	scene_begin(&s);
	for (int i = 0; i < 4; i++)
		add(&s, i, "here");
	run(&s);
	for (int i = 0; i < 4; i++)
		g_assert_cmpint(s.chosen[i], >, ROUNDS / 8);
	dir_free(s.dir);
}

/* A gray target answers failures at once and so looks idle: one failure is
 * enough to send work elsewhere. */
static void test_gray_target_is_no_sink(void)
{
	struct scene s;

	scene_begin(&s);
	for (int i = 0; i < 4; i++)
		add(&s, i, "here");
	for (int i = 1; i < 4; i++)
		bal_target_get(
			dir_target_find(s.dir, (const char[]){'0' + i, 0}), 0)
			->own = 2;
	note(&s, dir_target_find(s.dir, "0"), GRY_FAILED);
	run(&s);
	g_assert_cmpint(s.chosen[0], <, ROUNDS / 50);
	dir_free(s.dir);
}

/* A gray spell ends: the target comes back by single trials, not by all nodes
 * at once. */
static void test_idle_target_comes_back_by_trials(void)
{
	struct scene s;

	scene_begin(&s);
	for (int i = 0; i < 4; i++)
		note(&s, add(&s, i, "here"), GRY_SUCCESS);
	for (int i = 0; i < 3; i++)
		note(&s, dir_target_find(s.dir, "0"), GRY_FAILED);
	for (int i = 1; i < 4; i++)
		for (int n = 0; n < 5; n++)
			note(&s,
			     dir_target_find(s.dir, (const char[]){'0' + i, 0}),
			     GRY_SUCCESS);
	run(&s);
	g_assert_cmpint(s.chosen[0], ==, 0);
	s.wish.now_us += 15 * SECOND;
	for (int i = 1; i < 4; i++)
		bal_target_get(
			dir_target_find(s.dir, (const char[]){'0' + i, 0}), 0)
			->sent_us = s.wish.now_us;
	run(&s);
	g_assert_cmpint(s.chosen[0], >, ROUNDS / 20);
	g_assert_cmpint(s.chosen[0], <, ROUNDS / 2);
	dir_free(s.dir);
}

/* Most targets look sick at once: none is left out. */
static void test_all_sick_all_used(void)
{
	struct scene s;

	scene_begin(&s);
	for (int i = 0; i < 4; i++)
		note(&s, add(&s, i, "here"), GRY_FAILED);
	run(&s);
	g_assert_cmpint(s.total, ==, ROUNDS);
	for (int i = 0; i < 4; i++)
		g_assert_cmpint(s.chosen[i], >, ROUNDS / 10);
	dir_free(s.dir);
}

/* Has target @p number fail some times, a while before now. */
static void fail(struct scene *s, const char *number, int times, int64_t ago_us)
{
	struct dir_target *target = dir_target_find(s->dir, number);

	s->wish.now_us -= ago_us;
	for (int n = 0; n < times; n++)
		note(s, target, GRY_FAILED);
	bal_target_get(target, 0)->sent_us = s->wish.now_us;
	s->wish.now_us += ago_us;
}

/* A target that failed once is tried again within two seconds, however few such
 * targets there are: the floor may be judged by those alone. Each send gives it
 * rest again; one that failed more often rests for longer. */
static void test_doubtful_target_is_tried(void)
{
	struct scene s;

	scene_begin(&s);
	for (int i = 0; i < 4; i++)
		add(&s, i, "here");
	fail(&s, "0", 3, 2800 * MS);
	fail(&s, "1", 1, 2100 * MS);
	run(&s);
	g_assert_cmpint(s.chosen[0], ==, 0);
	g_assert_cmpint(s.chosen[1], >, ROUNDS / 20);
	g_assert_cmpint(s.chosen[1], <, ROUNDS / 4);
	bal_target_get(dir_target_find(s.dir, "1"), 0)->sent_us = s.wish.now_us;
	run(&s);
	g_assert_cmpint(s.chosen[1], ==, 0);
	dir_free(s.dir);
}

/* A request at work, or one that hangs, is no news: a target that nobody has
 * sent anything for a while gets a request while it has a free slot. */
static void test_target_at_work_gets_more(void)
{
	struct scene s;

	scene_begin(&s);
	for (int i = 0; i < 4; i++)
		add(&s, i, "here");
	bal_target_get(dir_target_find(s.dir, "0"), 0)->sent_us -= 2 * SECOND;
	bal_target_get(dir_target_find(s.dir, "0"), 0)->others = 3;
	run(&s);
	g_assert_cmpint(s.chosen[0], >, ROUNDS / 10);
	bal_target_get(dir_target_find(s.dir, "0"), 0)->others = 4;
	run(&s);
	g_assert_cmpint(s.chosen[0], ==, 0);
	dir_free(s.dir);
}

/* A new target is cheap for nobody: the nodes, which do not hear of each other
 * at once, send it few requests in that time. */
static void test_new_target_draws_no_herd(void)
{
	struct scene s;

	scene_begin(&s);
	for (int i = 0; i < 12; i++)
		add(&s, i, "here");
	s.wish.rate = 100;
	bal_target_get(dir_target_find(s.dir, "0"), 0)->gry.has_outcome = false;
	bal_target_get(dir_target_find(s.dir, "0"), 0)->sent_us = INT64_MIN / 2;
	dir_target_find(s.dir, "0")->warm_us = s.wish.now_us + 3 * SECOND;
	run(&s);
	/* 400 requests are four seconds of all nodes' work, news takes 0.3 s. */
	g_assert_cmpint(s.chosen[0], >, 0);
	g_assert_cmpint(s.chosen[0], <, 4 * ROUNDS / 40);
	dir_free(s.dir);
}

/* Good work at all targets but the first, until now. */
static void work_elsewhere(const struct scene *s)
{
	for (int i = 1; i < 4; i++) {
		struct dir_target *target =
			dir_target_find(s->dir, (const char[]){'0' + i, 0});

		for (int n = 0; n < 5; n++)
			note(s, target, GRY_SUCCESS);
		bal_target_get(target, 0)->sent_us = s->wish.now_us;
	}
}

/* A spell of failures lasts some seconds: a target that failed twice is not tried
 * for a while after each failure, longer by requests that would be lost, and then
 * by few requests of all nodes: it may have recovered. */
static void test_spell_is_waited_for(void)
{
	struct scene s;

	scene_begin(&s);
	for (int i = 0; i < 4; i++)
		add(&s, i, "here");
	s.wish.rate = 100;
	for (int spell = 0; spell < 4; spell++) {
		int64_t wait_us = spell % 2 ? 2800 * MS : 4400 * MS;

		s.wish.repeatable = spell % 2;
		fail(&s, "0", 2, 0);
		bal_target_get(dir_target_find(s.dir, "0"), 0)->sent_us--;
		for (int i = 0; i < 8; i++) {
			s.wish.now_us += wait_us / 8;
			work_elsewhere(&s);
			run(&s);
			g_assert_cmpint(s.chosen[0], ==, 0);
		}
		s.wish.now_us += 200 * MS;
		work_elsewhere(&s);
		run(&s);
		g_assert_cmpint(s.chosen[0], >, 0);
		g_assert_cmpint(s.chosen[0], <, ROUNDS / 25);
	}
	dir_free(s.dir);
}

/* All slots are taken and one comes free: until the nodes hear of what the
 * others send, they must not all choose that target. With slots free elsewhere
 * the cheapest target is the best one. */
static void test_free_slot_draws_no_herd(void)
{
	struct scene s;

	scene_begin(&s);
	s.wish.rate = 60;
	for (int i = 0; i < 5; i++)
		bal_target_get(add(&s, i, "here"), 0)->others = i ? 8 : 0;
	run(&s);
	g_assert_cmpint(s.total, ==, ROUNDS);
	g_assert_cmpint(s.chosen[0], <, ROUNDS * 6 / 10);
	g_assert_cmpint(s.chosen[0], >, ROUNDS / 4);
	for (int i = 0; i < 5; i++)
		bal_target_get(
			dir_target_find(s.dir, (const char[]){'0' + i, 0}), 0)
			->others = i ? 3 : 0;
	s.wish.rate = 10;
	run(&s);
	g_assert_cmpint(s.chosen[0], >, ROUNDS * 9 / 10);
	dir_free(s.dir);
}

/* Work stays in its failure domain until waits there cost more. */
static void test_spill_to_another_domain(void)
{
	struct scene s;

	scene_begin(&s);
	add(&s, 0, "here");
	add(&s, 1, "there");
	run(&s);
	g_assert_cmpint(s.chosen[1], ==, 0);
	bal_target_get(dir_target_find(s.dir, "0"), 0)->others = 8;
	run(&s);
	g_assert_cmpint(s.chosen[0], ==, 0);
	dir_free(s.dir);
}

/* A long answer does not cross for a short wait. */
static void test_long_answers_do_not_cross(void)
{
	struct scene s;

	scene_begin(&s);
	s.wish.cross_domain_cost_us = 120 * MS + 90000 * 20;
	add(&s, 0, "here");
	add(&s, 1, "there");
	bal_target_get(dir_target_find(s.dir, "0"), 0)->others = 8;
	run(&s);
	g_assert_cmpint(s.chosen[1], ==, 0);
	dir_free(s.dir);
}

/* A new target is used before it is needed. */
static void test_new_target_gets_work(void)
{
	struct scene s;

	scene_begin(&s);
	add(&s, 0, "here");
	bal_target_get(add(&s, 1, "here"), 0)->gry.has_outcome = false;
	bal_target_get(dir_target_find(s.dir, "1"), 0)->sent_us = INT64_MIN / 2;
	dir_target_find(s.dir, "1")->warm_us = s.wish.now_us + 3 * SECOND;
	run(&s);
	g_assert_cmpint(s.chosen[1], >, ROUNDS / 4);
	dir_free(s.dir);
}

/* A target whose queue is full gets nothing until it has fewer requests. */
static void test_full_target_is_spared(void)
{
	struct scene s;
	struct bal_target *kept;
	struct bal_choice choice;

	scene_begin(&s);
	kept = bal_target_get(add(&s, 0, "here"), 0);
	kept->others = 20;
	note(&s, dir_target_find(s.dir, "0"), GRY_FULL);
	bal_note_full(dir_target_find(s.dir, "0"), s.wish.now_us);
	choice = bal_choose(dir_find(s.dir, "pay"), &s.wish);
	g_assert_null(choice.target);
	g_assert_cmpuint(choice.full, ==, 1);
	kept->others = 15;
	choice = bal_choose(dir_find(s.dir, "pay"), &s.wish);
	g_assert_nonnull(choice.target);
	dir_free(s.dir);
}

static void test_leaving_target_gets_nothing(void)
{
	struct scene s;

	scene_begin(&s);
	add(&s, 0, "here")->entry.leaving = true;
	run(&s);
	g_assert_cmpint(s.total, ==, 0);
	dir_free(s.dir);
}

/* Overdue work counts before its time-out, less than a failure. */
static void test_overdue_work_is_evidence(void)
{
	struct gry failed, overdue;

	gry_init(&failed, 0);
	gry_init(&overdue, 0);
	gry_record_outcome(&failed, GRY_FAILED, 1.0, 0);
	gry_record_outcome(&overdue, GRY_OVERDUE, 1.0, 0);
	g_assert_true(gry_is_suspected(&failed, 0));
	g_assert_cmpfloat(gry_failure_probability(&overdue, 0), >, 0.25);
	g_assert_cmpfloat(gry_failure_probability(&overdue, 0), <,
			  gry_failure_probability(&failed, 0));
	g_assert_false(gry_is_suspected(&failed, 10 * SECOND));
}

/* A slow spell fades without answers; chance differences do not count. */
static void test_slowness_fades(void)
{
	struct gry gry;

	gry_init(&gry, 0);
	for (int i = 0; i < 30; i++)
		gry_record_response_time(&gry, 4 * MEAN_US, MEAN_US, 0);
	g_assert_cmpfloat(gry_slowness(&gry, 0), >, 3.0);
	g_assert_cmpfloat(gry_slowness(&gry, 20 * SECOND), ==, 1.0);
}

/* The sum of what all nodes may repeat stays within the fleet's budget in any
 * window, also when the nodes get unequal work. */
static void test_budget_of_all_nodes(void)
{
	enum {
		NODES = 44,
		STEPS = 2000
	};
	static struct bud buds[NODES];
	static int64_t at[STEPS];
	int repeats = 0;
	int requests = 0;

	for (int i = 0; i < STEPS; i++) {
		int64_t now_us = 50 * SECOND + i * 5 * MS;
		struct bud *bud = &buds[(i * i) % NODES];

		bud_count_request(bud, &rule, now_us);
		requests++;
		if (bud_retries_left(bud, &rule, NODES, now_us) < 1.0)
			continue;
		bud_count_retry(bud, &rule, now_us);
		at[repeats++] = now_us;
	}
	g_assert_cmpint(at[repeats - 1] - at[0], <=, rule.window_us);
	g_assert_cmpfloat(repeats, <=, rule.ratio * requests + rule.slack);
	g_assert_cmpint(repeats, >, 0);
}

/* What a node took a moment ago counts against what all may take at once. */
/* Hundreds of nodes with a few requests each, which learn of each other's
 * retries REPORT_TICKS later. */
enum {
	MANY_NODES = 442,
	REPORT_TICKS = 7, /* of 100 ms */
	TICKS = 400,
};

/** Retries wanted, allowed, and the most in any window. */
struct borrowed {
	double wanted, allowed, most;
};

static struct borrowed borrow(const struct bud_rule *r, int requests_a_tick,
			      double failing)
{
	static struct bud buds[MANY_NODES];
	static double used[TICKS];
	struct borrowed out = {0};
	struct bud fleet = {0};
	GRand *rand = g_rand_new_with_seed(3);

	memset(buds, 0, sizeof(buds));
	memset(used, 0, sizeof(used));
	for (int t = 0; t < TICKS; t++) {
		int64_t now_us = 100 * SECOND + t * 100 * MS;
		double in_window = 0;

		for (int i = 0;
		     t >= REPORT_TICKS && i < (int)used[t - REPORT_TICKS]; i++)
			bud_count_retry(&fleet, r, now_us);
		for (int i = 0; i < requests_a_tick; i++) {
			struct bud *bud =
				&buds[g_rand_int_range(rand, 0, MANY_NODES)];
			double left;

			bud_count_request(bud, r, now_us);
			bud_count_request(&fleet, r, now_us);
			if (g_rand_double(rand) >= failing)
				continue;
			left = bud_borrowable(
				       bud_retries_left(&fleet, r, 1, now_us),
				       bud_request_rate(&fleet, r, now_us)) -
			       bud_recent_retries(bud, r, now_us);
			out.wanted++;
			if (MAX(left, bud_retries_left(bud, r, MANY_NODES,
						       now_us)) < 1.0)
				continue;
			bud_count_retry(bud, r, now_us);
			used[t]++;
			out.allowed++;
		}
		for (int i = MAX(t - 99, 0); i <= t; i++)
			in_window += used[i];
		out.most = MAX(out.most, in_window);
	}
	g_rand_free(rand);
	return out;
}

/* Guards against retries that are refused for lack of budget while most of the
 * fleet's budget is unused: a node's own share is a few retries, and failures
 * come in clusters. When everything fails, the budget still holds. */
static void test_budget_is_borrowed(void)
{
	const struct bud_rule r = {
		.ratio = 0.2, .slack = 630, .window_us = 10 * SECOND};
	struct borrowed usual = borrow(&r, 79, 0.15);
	struct borrowed all = borrow(&r, 79, 1.0);

	g_assert_cmpfloat(usual.allowed / usual.wanted, >, 0.98);
	g_assert_cmpfloat(all.most, <=, r.ratio * 7900 + r.slack);
	g_assert_cmpfloat(all.allowed, >, 0);
}

static void test_budget_recent_repeats(void)
{
	struct bud bud = {0};

	bud_count_retry(&bud, &rule, 10 * SECOND);
	bud_count_retry(&bud, &rule, 10 * SECOND + 400 * MS);
	g_assert_cmpuint(
		bud_recent_retries(&bud, &rule, 10 * SECOND + 600 * MS), ==, 2);
	g_assert_cmpuint(bud_recent_retries(&bud, &rule, 12 * SECOND), ==, 0);
}

static void test_budget_returns_after_the_window(void)
{
	struct bud bud = {0};

	while (bud_retries_left(&bud, &rule, 44, SECOND) >= 1.0)
		bud_count_retry(&bud, &rule, SECOND);
	g_assert_cmpfloat(bud_retries_left(&bud, &rule, 44, 2 * SECOND), <,
			  1.0);
	g_assert_cmpfloat(bud_retries_left(&bud, &rule, 44, 12 * SECOND), >=,
			  1.0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gateway/calm_work_is_shared",
			test_calm_work_is_shared);
	g_test_add_func("/gateway/gray_target_is_no_sink",
			test_gray_target_is_no_sink);
	g_test_add_func("/gateway/idle_target_comes_back_by_trials",
			test_idle_target_comes_back_by_trials);
	g_test_add_func("/gateway/all_sick_all_used", test_all_sick_all_used);
	g_test_add_func("/gateway/doubtful_target_is_tried",
			test_doubtful_target_is_tried);
	g_test_add_func("/gateway/target_at_work_gets_more",
			test_target_at_work_gets_more);
	g_test_add_func("/gateway/new_target_draws_no_herd",
			test_new_target_draws_no_herd);
	g_test_add_func("/gateway/spell_is_waited_for",
			test_spell_is_waited_for);
	g_test_add_func("/gateway/free_slot_draws_no_herd",
			test_free_slot_draws_no_herd);
	g_test_add_func("/gateway/spill_to_another_domain",
			test_spill_to_another_domain);
	g_test_add_func("/gateway/long_answers_do_not_cross",
			test_long_answers_do_not_cross);
	g_test_add_func("/gateway/new_target_gets_work",
			test_new_target_gets_work);
	g_test_add_func("/gateway/full_target_is_spared",
			test_full_target_is_spared);
	g_test_add_func("/gateway/leaving_target_gets_nothing",
			test_leaving_target_gets_nothing);
	g_test_add_func("/gateway/overdue_work_is_evidence",
			test_overdue_work_is_evidence);
	g_test_add_func("/gateway/slowness_fades", test_slowness_fades);
	g_test_add_func("/gateway/budget_of_all_nodes",
			test_budget_of_all_nodes);
	g_test_add_func("/gateway/budget_is_borrowed", test_budget_is_borrowed);
	g_test_add_func("/gateway/budget_recent_repeats",
			test_budget_recent_repeats);
	g_test_add_func("/gateway/budget_returns_after_the_window",
			test_budget_returns_after_the_window);
	return g_test_run();
}
