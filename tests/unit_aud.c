#include <fcntl.h>
#include <string.h>

#include "aud_explain.h"
#include "aud_replay.h"
#include "fs_log.h"

/* Two services, one region; made by hand, no text needed. */
static struct cfg_domain domain = {(char *)"a", (char *)"r"};
static struct cfg_server servers[] = {
	{.name = (char *)"c1", .service = 0},
	{.name = (char *)"c2", .service = 0},
	{.name = (char *)"c3", .service = 0},
	{.name = (char *)"c4", .service = 0},
	{.name = (char *)"l1", .service = 1},
};
static handle on_lookup[] = {1};
static struct cfg_service services[] = {
	{.name = (char *)"checkout",
	 .server_count = 4,
	 .floor = 500,
	 .queue = 8,
	 .detection = CFG_DETECT_QUICK,
	 .depends_on = on_lookup,
	 .depends_count = 1},
	{.name = (char *)"lookup",
	 .first_server = 4,
	 .server_count = 1,
	 .floor = 1000,
	 .queue = 8,
	 .leaving = true},
};
static struct cfg_route routes[] = {
	{.name = (char *)"pay", .service = 0},
	{.name = (char *)"list", .service = 0, .repeatable = true},
};
static const struct cfg cfg = {
	.version = 7,
	.domains = &domain,
	.domain_count = 1,
	.services = services,
	.service_count = 2,
	.servers = servers,
	.server_count = 5,
	.routes = routes,
	.route_count = 2,
};

/** A record that follows, and one number that changed makes it not follow. */
struct sample {
	enum aud_rule rule;
	const char *service;
	const char *server;
	const char *route;
	const char *choice;
	const char *numbers;  /* "name=value ..." */
	const char *tampered; /* "name=value" that must be found, or NULL */
};

#define RETRY                                                 \
	"repeatable=1 written=1 begun=0 tries=1 tries_max=3 " \
	"budget_milli=5000 remaining_us=100 usable=2"
#define REFUSED                                               \
	"repeatable=0 written=1 begun=0 tries=1 tries_max=3 " \
	"budget_milli=5000 remaining_us=100 usable=2"

static const struct sample samples[] = {
	{AUD_R_REQUEST, "", "", "", "bad_request", "err=-1", "err=-11"},
	{AUD_R_NOT_READY, "", "", "", NULL, "err=-6 ready=0", "ready=1"},
	{AUD_R_NO_DISPATCHER, "checkout", "", "pay", NULL, "err=-8 reachable=0",
	 "reachable=1"},
	{AUD_R_QUEUE_FULL, "checkout", "", "pay", NULL,
	 "err=-11 waiting=8 queue=8", "waiting=7"},
	{AUD_R_QUEUE_FULL, "checkout", "", "pay", NULL,
	 "err=-11 waiting=8 queue=8", "queue=6"},
	{AUD_R_WAIT_TOO_LONG, "checkout", "", "pay", NULL,
	 "err=-12 expected_wait_us=900 remaining_us=800", "remaining_us=1000"},
	{AUD_R_DEADLINE_QUEUED, "checkout", "", "pay", NULL,
	 "err=-13 remaining_us=0", "remaining_us=5"},
	{AUD_R_SHED, "checkout", "", "pay", NULL, "err=-19 waiting=8 queue=8",
	 "waiting=3"},
	{AUD_R_NO_TARGET, "checkout", "", "pay", NULL, "err=-14 usable=0",
	 "usable=1"},
	{AUD_R_CONNECT, "checkout", "c1", "pay", NULL, "err=-15 written=0",
	 "written=1"},
	{AUD_R_KEY, "checkout", "", "pay", NULL, "err=-17", "err=-1"},
	{AUD_R_OUTCOME_UNKNOWN, "checkout", "", "pay", NULL,
	 "err=-30 written=1", "written=0"},
	{AUD_R_CANCEL_CONFIRMED, "checkout", "", "pay", NULL,
	 "err=-16 cancel_confirmed=1", "cancel_confirmed=0"},
	{AUD_R_NOT_OWNER, "checkout", "", "pay", NULL, "err=-10", "err=-30"},
	{AUD_R_SERVICE_LEAVING, "lookup", "", "", NULL, "err=-9", "err=-1"},
	{AUD_R_TARGET_REFUSED, "checkout", "c1", "pay", NULL, "err=-20",
	 "err=-30"},
	{AUD_R_RETRY, "checkout", "c1", "list", "retry", RETRY,
	 "budget_milli=999"},
	{AUD_R_RETRY, "checkout", "c1", "list", "retry", RETRY, "tries=3"},
	{AUD_R_RETRY, "checkout", "c1", "list", "retry", RETRY, "repeatable=0"},
	{AUD_R_NO_RETRY, "checkout", "c1", "pay", "no_retry", REFUSED,
	 "written=0"},
	{AUD_R_STEER_STALL, "checkout", "c1", "", "suspect",
	 "overdue=2 in_flight=3 quiet_us=600000 since_us=0", "overdue=1"},
	{AUD_R_STEER_STALL, "checkout", "c1", "", "trial",
	 "overdue=2 in_flight=3 quiet_us=600000 since_us=600000",
	 "since_us=100"},
	{AUD_R_STEER_STALL, "checkout", "c1", "", "eject_asked",
	 "since_us=3000000 sick_bad=3 last_bad_us=100", "sick_bad=2"},
	{AUD_R_STEER_ERRORS, "checkout", "c1", "", "suspect",
	 "bad=4 good=10 peers_bad=1 peers_good=99 since_us=0", "peers_bad=40"},
	{AUD_R_STEER_SLOW, "checkout", "c1", "", "suspect",
	 "slow=6 good=8 peers_slow=1 peers_good=99 since_us=0", "slow=3"},
	{AUD_R_STEER_CONNECT, "checkout", "c1", "", "suspect",
	 "failures=3 since_us=0", "failures=2"},
	{AUD_R_STEER_CLEAR, "checkout", "c1", "", "fit",
	 "good_run=8 quiet_us=4000000 relapses=0 reachable=1", "relapses=1"},
	{AUD_R_STEER_CLEAR, "checkout", "c1", "", "return_asked",
	 "good_run=5 quiet_us=10000000 relapses=0 reachable=1", "good_run=4"},
	{AUD_R_STEER_FLOOR, "checkout", "c1", "", "given_back",
	 "steered=3 first=0 servers=4 count=4 out=0 floor=2", "steered=2"},
	{AUD_R_EJECT, "checkout", "c1", "", "ejected",
	 "count=4 out=1 floor=2 epoch=3 ejections=1 judged=%J witnesses=0 "
	 "told=0 reached=0",
	 "out=2"},
	{AUD_R_EJECT, "checkout", "c1", "", "ejected",
	 "count=4 out=1 floor=2 epoch=3 ejections=1 judged=%J witnesses=0 "
	 "told=0 reached=0",
	 "floor=1"},
	{AUD_R_EJECT, "checkout", "c1", "", "ejected",
	 "count=4 out=1 floor=2 epoch=3 ejections=1 judged=%C witnesses=2 "
	 "told=2 reached=0",
	 "reached=1"},
	{AUD_R_EJECT_FLOOR, "checkout", "c1", "", "kept",
	 "count=4 out=2 floor=2 epoch=3 ejections=0", "out=1"},
	{AUD_R_EJECT_COMMON, "checkout", "c1", "", "kept", "sick=3 count=4",
	 "sick=2"},
	{AUD_R_EJECT_DEPENDENCY, "checkout", "c1", "", "kept",
	 "dependency_sick=1", "dependency_sick=0"},
	{AUD_R_EJECT_PATH, "checkout", "c1", "", "kept",
	 "witnesses=2 told=2 reached=1", "reached=0"},
	{AUD_R_EJECT_PLATFORM, "checkout", "c1", "", "kept", "err=-46",
	 "err=-49"},
	{AUD_R_RETURN, "checkout", "c1", "", "returned",
	 "count=4 out=1 floor=2 epoch=3 ejections=1", "floor=1"},
	{AUD_R_CONFIG_TAKEN, "", "", "", "taken",
	 "version=7 known=6 problems=0", "known=7"},
	{AUD_R_CONFIG_OLD, "", "", "", "refused",
	 "version=7 known=8 problems=0", "known=6"},
	{AUD_R_CONFIG_BAD, "", "", "", "refused",
	 "version=7 known=6 problems=2", "problems=0"},
	{AUD_R_DRAIN_TARGET, "checkout", "c1", "", "text", "", NULL},
};

static void set_number(struct aud_record *rec, const char *pair)
{
	g_auto(GStrv) parts = g_strsplit(pair, "=", 2);
	int64_t value;

	if (!strcmp(parts[1], "%J"))
		value = AUD_R_STEER_STALL;
	else if (!strcmp(parts[1], "%C"))
		value = AUD_R_STEER_CONNECT;
	else
		value = g_ascii_strtoll(parts[1], NULL, 10);
	for (uint32_t i = 0; i < rec->evidence_count; i++) {
		if (!strcmp(rec->evidence[i].name, parts[0])) {
			rec->evidence[i].value = value;
			return;
		}
	}
	aud_add(rec, g_intern_string(parts[0]), value);
}

static void make(const struct sample *s, struct aud_record *rec)
{
	g_auto(GStrv) pairs = g_strsplit(s->numbers, " ", -1);

	aud_begin(rec, aud_rule_kind(s->rule), s->rule, 7, 1000);
	g_strlcpy(rec->service, s->service, sizeof(rec->service));
	g_strlcpy(rec->server, s->server, sizeof(rec->server));
	g_strlcpy(rec->route, s->route, sizeof(rec->route));
	for (char **p = pairs; *p && **p; p++)
		set_number(rec, *p);
	if (s->choice) {
		g_strlcpy(rec->choice, s->choice, sizeof(rec->choice));
	} else {
		int64_t err = 0;

		aud_number_of(rec, "err", &err);
		g_strlcpy(rec->choice, fs_err_name((int)err),
			  sizeof(rec->choice));
	}
}

static bool follows(const struct aud_record *rec)
{
	g_autofree char *reason = NULL;
	int err = aud_replay_check(&cfg, rec, &reason);

	g_assert_cmpint(err == 0, ==, reason == NULL);
	return err == 0;
}

static void test_genuine_records_follow(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(samples); i++) {
		struct aud_record rec;

		make(&samples[i], &rec);
		g_test_message("%u %s", i, aud_rule_name(rec.rule));
		g_assert_true(follows(&rec));
	}
}

static void test_changed_numbers_are_found(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(samples); i++) {
		struct aud_record rec;

		if (!samples[i].tampered)
			continue;
		make(&samples[i], &rec);
		set_number(&rec, samples[i].tampered);
		g_test_message("%u %s %s", i, aud_rule_name(rec.rule),
			       samples[i].tampered);
		g_assert_false(follows(&rec));
	}
}

static void test_changed_members_are_found(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(samples); i++) {
		struct aud_record rec;

		make(&samples[i], &rec);
		g_test_message("%u %s", i, aud_rule_name(rec.rule));
		rec.kind = (enum aud_kind)((rec.kind + 1) % AUD_KIND_COUNT);
		g_assert_false(follows(&rec));
		make(&samples[i], &rec);
		g_strlcpy(rec.server, "nobody", sizeof(rec.server));
		g_assert_false(follows(&rec));
		make(&samples[i], &rec);
		aud_add(&rec, "unheard_of", 1);
		g_assert_false(follows(&rec));
		if (samples[i].rule == AUD_R_DRAIN_TARGET)
			continue;
		make(&samples[i], &rec);
		g_strlcpy(rec.choice, "other", sizeof(rec.choice));
		g_assert_false(follows(&rec));
		make(&samples[i], &rec);
		rec.evidence[0].name = "renamed";
		g_assert_false(follows(&rec));
	}
}

/* A record of one rule does not pass as one of another rule. */
static void test_changed_rules_are_found(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(samples); i++) {
		for (int rule = 0; rule < AUD_RULE_COUNT; rule++) {
			struct aud_record rec;

			make(&samples[i], &rec);
			if (rule == (int)rec.rule || !rec.evidence_count ||
			    !strcmp(rec.choice, "eject_asked"))
				continue;
			rec.rule = (enum aud_rule)rule;
			g_test_message("%u %s", i, aud_rule_name(rec.rule));
			g_assert_false(follows(&rec));
		}
	}
}

static void test_json_round_trip(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(samples); i++) {
		g_autoptr(GString) json = g_string_new(NULL);
		g_autoptr(GString) again = g_string_new(NULL);
		struct aud_record rec;
		struct aud_record parsed;

		make(&samples[i], &rec);
		aud_record_json(&rec, json);
		g_assert_cmpint(aud_record_parse(json->str, &parsed), ==, 0);
		aud_record_json(&parsed, again);
		g_assert_cmpstr(json->str, ==, again->str);
	}
}

static void test_bad_json_is_refused(void)
{
	static const char *const bad[] = {
		"",
		"{",
		"[]",
		"{\"rule\":\"eject\"}",
		"{\"record\":3}",
		"{\"rule\":\"eject\",\"kind\":\"eject\",\"serial\":-1}",
	};
	struct aud_record rec;

	for (guint i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_cmpint(aud_record_parse(bad[i], &rec), ==,
				FS_E_PROTOCOL);
	g_assert_cmpint(aud_record_parse("{\"event\":\"started\"}", &rec), ==,
			FS_E_NOT_FOUND);
}

static void test_every_rule_is_explained(void)
{
	for (int rule = 0; rule < AUD_RULE_COUNT; rule++) {
		g_autoptr(GString) out = g_string_new(NULL);
		struct aud_record rec;

		aud_begin(&rec, aud_rule_kind((enum aud_rule)rule),
			  (enum aud_rule)rule, 7, 0);
		aud_explain(&rec, out);
		g_assert_cmpuint(out->len, >, 40);
		g_assert_null(strchr(out->str, '{'));
	}
}

/** A log of one node, as lines. */
struct log {
	GPtrArray *lines;
	uint64_t serial;
};

static void add_line(struct log *log, const struct sample *s, uint64_t version,
		     const char *server, int64_t epoch, int64_t out)
{
	g_autoptr(GString) json = g_string_new("{\"node\":\"n\",\"record\":");
	g_autofree char *pair =
		g_strdup_printf("epoch=%" G_GINT64_FORMAT, (gint64)epoch);
	g_autofree char *place =
		g_strdup_printf("out=%" G_GINT64_FORMAT, (gint64)out);
	struct aud_record rec;

	make(s, &rec);
	rec.config_version = version;
	rec.serial = ++log->serial;
	if (rec.rule == AUD_R_CONFIG_TAKEN) {
		rec.evidence[0].value = (int64_t)version;
		rec.evidence[1].value = (int64_t)version - 1;
	}
	if (server) {
		g_strlcpy(rec.server, server, sizeof(rec.server));
		set_number(&rec, pair);
		set_number(&rec, place);
	}
	aud_record_json(&rec, json);
	g_string_append_c(json, '}');
	g_ptr_array_add(log->lines, g_strdup(json->str));
}

static const struct sample *sample_of(enum aud_rule rule)
{
	for (guint i = 0; i < G_N_ELEMENTS(samples); i++) {
		if (samples[i].rule == rule)
			return &samples[i];
	}
	g_assert_not_reached();
}

static void log_begin(struct log *log)
{
	log->lines = g_ptr_array_new_with_free_func(g_free);
	log->serial = 0;
	add_line(log, sample_of(AUD_R_CONFIG_TAKEN), 7, NULL, 0, 0);
	add_line(log, sample_of(AUD_R_EJECT), 7, "c1", 1, 0);
	add_line(log, sample_of(AUD_R_EJECT), 7, "c2", 2, 1);
	add_line(log, sample_of(AUD_R_RETURN), 7, "c1", 3, 0);
	add_line(log, sample_of(AUD_R_QUEUE_FULL), 7, NULL, 0, 0);
}

/* Judges the log and frees it. */
static bool log_follows(struct log *log)
{
	struct aud_replay *replay = aud_replay_new(&cfg);
	bool ok = true;
	char *reason;

	for (guint i = 0; i < log->lines->len; i++) {
		ok &= aud_replay_line(replay, log->lines->pdata[i], &reason) ==
		      0;
		g_free(reason);
	}
	ok &= aud_replay_end(replay, &reason) == 0;
	g_free(reason);
	aud_replay_free(replay);
	g_ptr_array_unref(log->lines);
	return ok;
}

static void test_logs(void)
{
	struct log log;

	log_begin(&log);
	g_assert_true(log_follows(&log));

	/* A removed line, at the start, between, and a doubled one. */
	log_begin(&log);
	g_ptr_array_remove_index(log.lines, 0);
	g_assert_false(log_follows(&log));
	log_begin(&log);
	g_ptr_array_remove_index(log.lines, 3);
	g_assert_false(log_follows(&log));
	log_begin(&log);
	g_ptr_array_add(log.lines, g_strdup(log.lines->pdata[4]));
	g_assert_false(log_follows(&log));

	/* A place that was taken twice, an epoch that was used twice. */
	log_begin(&log);
	add_line(&log, sample_of(AUD_R_EJECT), 7, "c3", 4, 0);
	g_assert_false(log_follows(&log));
	log_begin(&log);
	add_line(&log, sample_of(AUD_R_EJECT), 7, "c3", 2, 1);
	g_assert_false(log_follows(&log));

	/* Versions that go back, or were never taken. */
	log_begin(&log);
	add_line(&log, sample_of(AUD_R_CONFIG_TAKEN), 6, NULL, 0, 0);
	g_assert_false(log_follows(&log));
	log_begin(&log);
	add_line(&log, sample_of(AUD_R_QUEUE_FULL), 8, NULL, 0, 0);
	g_assert_false(log_follows(&log));
}

static void test_ring_keeps_the_newest(void)
{
	struct aud *aud = aud_new();
	g_autoptr(GString) out = g_string_new(NULL);
	struct aud_record rec;

	fs_log_init("n", open("/dev/null", O_WRONLY | O_CLOEXEC));
	for (int i = 0; i < 200; i++) {
		aud_begin(&rec, AUD_DRAIN, AUD_R_DRAIN_NODE, 0, 0);
		aud_emit(aud, &rec);
	}
	aud_ring_json(aud, 198, out);
	g_assert_nonnull(strstr(out->str, "\"serial\":199,"));
	g_assert_nonnull(strstr(out->str, "\"serial\":200,"));
	g_assert_null(strstr(out->str, "\"serial\":198,"));
	aud_free(aud);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/aud/genuine_records_follow",
			test_genuine_records_follow);
	g_test_add_func("/aud/changed_numbers_are_found",
			test_changed_numbers_are_found);
	g_test_add_func("/aud/changed_members_are_found",
			test_changed_members_are_found);
	g_test_add_func("/aud/changed_rules_are_found",
			test_changed_rules_are_found);
	g_test_add_func("/aud/json_round_trip", test_json_round_trip);
	g_test_add_func("/aud/bad_json_is_refused", test_bad_json_is_refused);
	g_test_add_func("/aud/every_rule_is_explained",
			test_every_rule_is_explained);
	g_test_add_func("/aud/logs", test_logs);
	g_test_add_func("/aud/ring_keeps_the_newest",
			test_ring_keeps_the_newest);
	return g_test_run();
}
