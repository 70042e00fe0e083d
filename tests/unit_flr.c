#include <string.h>

#include "flr_sync.h"

#define S FS_US_PER_S

/* Four servers, of which two must stay. */
static struct cfg_domain domain = {(char *)"a", (char *)"r"};
static struct cfg_server servers[] = {
	{.name = (char *)"s1"},
	{.name = (char *)"s2"},
	{.name = (char *)"s3"},
	{.name = (char *)"s4"},
};
static struct cfg_service service = {
	.name = (char *)"checkout",
	.server_count = 4,
	.floor = 500,
};
static const struct cfg cfg = {
	.version = 1,
	.domains = &domain,
	.domain_count = 1,
	.services = &service,
	.service_count = 1,
	.servers = servers,
	.server_count = 4,
};
static const struct flr_scope scope = {&cfg, 0, "r"};

static struct flr_record *two_out(void)
{
	struct flr_record *record = flr_record_new();

	g_assert_cmpint(flr_grant(record, &scope, "s1", AUD_R_STEER_STALL, "n"),
			==, 0);
	g_assert_cmpint(flr_grant(record, &scope, "s2", AUD_R_STEER_STALL, "n"),
			==, 0);
	return record;
}

static void test_grant_keeps_the_floor(void)
{
	struct flr_record *record = two_out();

	g_assert_cmpint(flr_grant(record, &scope, "s3", AUD_R_STEER_STALL, "n"),
			==, FS_E_FLOOR);
	g_assert_cmpint(flr_grant(record, &scope, "s2", AUD_R_STEER_STALL, "n"),
			==, FS_E_CONFLICT);
	g_assert_cmpint(flr_grant(record, &scope, "s9", AUD_R_STEER_STALL, "n"),
			==, FS_E_NOT_FOUND);
	g_assert_cmpuint(record->epoch, ==, 2);
	g_assert_true(flr_enforced(record, &scope, "s2"));
	g_assert_false(flr_enforced(record, &scope, "s3"));
	g_assert_false(flr_enforced(NULL, &scope, "s1"));
	flr_record_free(record);
}

static void test_return_keeps_its_place_for_the_hold(void)
{
	const struct flr_times *times = &flr_times_default;
	struct flr_record *record = two_out();
	struct flr_watch *watch = flr_watch_new();

	g_assert_cmpint(flr_return(record, &scope, "s1"), ==, 0);
	g_assert_cmpint(flr_watch_observe(watch, record, 100 * S), ==, 0);
	g_assert_false(flr_enforced(record, &scope, "s1"));
	g_assert_cmpint(flr_grant(record, &scope, "s3", AUD_R_STEER_STALL, "n"),
			==, FS_E_FLOOR);
	g_assert_cmpuint(flr_expire(record, &scope, watch, times,
				    100 * S + FS_RECORD_HOLD_US - 1),
			 ==, 0);
	g_assert_cmpuint(flr_expire(record, &scope, watch, times,
				    100 * S + FS_RECORD_HOLD_US),
			 ==, 1);
	g_assert_cmpint(flr_grant(record, &scope, "s3", AUD_R_STEER_STALL, "n"),
			==, 0);
	g_assert_cmpuint(flr_find(record, "s1")->ejections, ==, 1);
	flr_watch_free(watch);
	flr_record_free(record);
}

static void test_smaller_room_trims_the_latest(void)
{
	struct flr_record *record = two_out();
	struct cfg_service stricter = service;
	struct cfg after = cfg;
	struct flr_scope later = {&after, 0, "r"};

	stricter.floor = 750;
	after.services = &stricter;
	g_assert_true(flr_enforced(record, &later, "s1"));
	g_assert_false(flr_enforced(record, &later, "s2"));
	g_assert_cmpuint(flr_trim(record, &later), ==, 1);
	g_assert_cmpint(flr_find(record, "s2")->state, ==, FLR_RETURNING);
	flr_record_free(record);
}

static void test_a_lost_record_stops_grants(void)
{
	struct flr_record *record = two_out();
	struct flr_record *empty = flr_record_new();
	struct flr_watch *watch = flr_watch_new();

	flr_watch_observe(watch, record, 10 * S);
	g_assert_cmpint(flr_watch_observe(watch, empty, 20 * S), ==,
			FS_E_STALE);
	g_assert_false(flr_watch_may_grant(watch, &flr_times_default, 49 * S));
	g_assert_true(flr_watch_may_grant(watch, &flr_times_default, 50 * S));
	flr_watch_free(watch);
	flr_record_free(empty);
	flr_record_free(record);
}

static void test_json(void)
{
	static const char *const bad[] = {
		"",
		"[]",
		"{\"epoch\":1}",
		"{\"epoch\":-1,\"config_version\":1,\"entries\":[]}",
		"{\"epoch\":1,\"config_version\":1,\"entries\":[{}]}",
	};
	struct flr_record *record = two_out();
	struct flr_record *parsed;
	g_autoptr(GString) json = g_string_new(NULL);
	g_autoptr(GString) again = g_string_new(NULL);

	flr_record_json(record, json);
	g_assert_cmpint(flr_record_parse(json->str, &parsed), ==, 0);
	flr_record_json(parsed, again);
	g_assert_cmpstr(json->str, ==, again->str);
	for (guint i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct flr_record *none;

		g_assert_cmpint(flr_record_parse(bad[i], &none), ==,
				FS_E_PROTOCOL);
		g_assert_null(none);
	}
	flr_record_free(parsed);
	flr_record_free(record);
}

static void note_decision(void *arg, const struct flr_decision *decision)
{
	*(struct flr_decision *)arg = *decision;
}

/* The reply to a write is lost: it is read back, and told as done once. */
static void test_lost_reply_is_read_back(void)
{
	struct flr_decision last = {.err = 1};
	struct flr_sync *sync =
		flr_sync_new(&flr_times_default, "n", note_decision, &last);
	g_autoptr(GString) value = g_string_new(NULL);
	uint64_t prev = 9;

	g_assert_cmpint(flr_sync_next(sync, &scope, 0, value, &prev), ==,
			FLR_CALL_READ);
	flr_sync_read_done(sync, &scope, FS_E_NOT_FOUND, 0, "", 0);
	flr_sync_request(sync, "s1", AUD_R_STEER_STALL, false, 0);
	g_assert_cmpint(flr_sync_next(sync, &scope, 1, value, &prev), ==,
			FLR_CALL_WRITE);
	g_assert_cmpuint(prev, ==, 0);
	flr_sync_write_done(sync, &scope, FS_E_AMBIGUOUS, 0, 2);
	g_assert_cmpint(last.err, ==, 1);
	g_assert_cmpint(flr_sync_next(sync, &scope, 2 * S, value, &prev), ==,
			FLR_CALL_READ);
	flr_sync_read_done(sync, &scope, 0, 1, value->str, 2 * S);
	g_assert_cmpint(last.err, ==, 0);
	g_assert_cmpstr(last.server, ==, "s1");
	g_assert_cmpuint(last.epoch, ==, 1);
	g_assert_cmpint(flr_sync_next(sync, &scope, 3 * S, value, &prev), ==,
			FLR_CALL_NONE);
	flr_sync_free(sync);
}

/* The platform is away: the record lapses and the wish is refused. */
static void test_platform_away(void)
{
	struct flr_decision last = {0};
	struct flr_sync *sync =
		flr_sync_new(&flr_times_default, "n", note_decision, &last);
	g_autoptr(GString) value = g_string_new(NULL);
	int64_t now_us = 0;
	uint64_t prev;

	flr_sync_next(sync, &scope, 0, value, &prev);
	flr_sync_read_done(sync, &scope, FS_E_NOT_FOUND, 0, "", 1 * S);
	g_assert_nonnull(flr_sync_record(sync, FS_RECORD_LAPSE_US - 1));
	g_assert_null(flr_sync_record(sync, FS_RECORD_LAPSE_US));
	flr_sync_request(sync, "s1", AUD_R_STEER_STALL, false, 6 * S);
	for (now_us = 6 * S; now_us <= 17 * S; now_us += S) {
		if (flr_sync_next(sync, &scope, now_us, value, &prev) ==
		    FLR_CALL_READ)
			flr_sync_read_done(sync, &scope, FS_E_UNAVAILABLE, 0,
					   "", now_us);
	}
	g_assert_cmpint(last.err, ==, FS_E_UNAVAILABLE);
	flr_sync_free(sync);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/flr/grant_keeps_the_floor",
			test_grant_keeps_the_floor);
	g_test_add_func("/flr/return_keeps_its_place_for_the_hold",
			test_return_keeps_its_place_for_the_hold);
	g_test_add_func("/flr/smaller_room_trims_the_latest",
			test_smaller_room_trims_the_latest);
	g_test_add_func("/flr/a_lost_record_stops_grants",
			test_a_lost_record_stops_grants);
	g_test_add_func("/flr/json", test_json);
	g_test_add_func("/flr/lost_reply_is_read_back",
			test_lost_reply_is_read_back);
	g_test_add_func("/flr/platform_away", test_platform_away);
	return g_test_run();
}
