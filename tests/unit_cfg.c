#include <glib.h>
#include <string.h>

#include "cfg.h"
#include "cfg_diff.h"

/* A text without problems; cases below replace one part of it. */
static const char good_text[] =
	"deployment: cascade\n"				     /* line 1 */
	"failure_domains:\n"				     /* 2 */
	"  - {name: pnw-a, region: pnw}\n"		     /* 3 */
	"  - {name: pnw-b, region: pnw}\n"		     /* 4 */
	"services:\n"					     /* 5 */
	"  - name: lookup\n"				     /* 6 */
	"    floor: 60%\n"				     /* 7 */
	"    slots: 4\n"				     /* 8 */
	"    servers:\n"				     /* 9 */
	"      - {name: lookup-1, address: \"10.0.0.1:80\"," /* 10 */
	" failure_domain: pnw-a}\n"
	"      - {name: lookup-2, address: \"10.0.0.2:80\"," /* 11 */
	" failure_domain: pnw-b}\n"
	"  - name: checkout\n"				  /* 12 */
	"    depends_on: [lookup]\n"			  /* 13 */
	"    floor: 75%\n"				  /* 14 */
	"    slots: 4\n"				  /* 15 */
	"    not_run_status: [503]\n"			  /* 16 */
	"    objective: {good: 99.9%, latency_ms: 900}\n" /* 17 */
	"    probe: {path: /health, interval_ms: 2000}\n" /* 18 */
	"    server_ranges:\n"				  /* 19 */
	"      - {prefix: checkout-, count: 3, address: \"10.0.1.1:80\"," /* 20 */
	" failure_domains: [pnw-a, pnw-b]}\n"
	"routes:\n"					     /* 21 */
	"  - {name: status, path: /status, service: lookup," /* 22 */
	" deadline_ms: 2000, repeat: allowed, tries: 3}\n"
	"  - {name: pay, path: /pay, methods: [POST]," /* 23 */
	" service: checkout, deadline_ms: 5000, priority: high}\n";

/* Replace @find (its first occurrence) by @with: one finding at that place. */
struct bad_case {
	const char *find;
	const char *with;
	int line;
	const char *path;
	const char *says;
};

static const struct bad_case bad_cases[] = {
	/* Shape */
	{"deployment: cascade", "deployment: [a", 2, "", "not valid YAML"},
	{"slots: 4", "slotz: 4", 8, "services[0].slotz", "ones here are: name"},
	{"slots: 4", "slots: 4\n    slots: 5", 9, "services[0].slots",
	 "there twice"},
	{"slots: 4", "slots: [4]", 8, "services[0].slots", "one value"},
	{"[lookup]", "lookup", 13, "services[1].depends_on", "a list"},
	{"{good: 99.9%, latency_ms: 900}", "fine", 17, "services[1].objective",
	 "a mapping"},
	{"cascade", "&a cascade", 1, "deployment", "anchors"},
	{"cascade", "*a", 1, "deployment", "aliases"},
	{"cascade", "!!str cascade", 1, "deployment", "tags"},
	{"cascade", "[[[[[[[[[[1]]]]]]]]]]", 1, "deployment", "one value"},
	{"cascade", "\"a\\0b\"", 1, "deployment", "NUL"},
	{"deployment", "zone: 1\ndeployment", 1, "zone", "unknown setting"},
	{"routes:", "---\nroutes:", 21, "", "second document"},
	{"cascade", "\xff", 1, "", "not valid YAML"},
	/* Missing */
	{"deployment: cascade\n", "", 0, "deployment", "missing"},
	{"    floor: 60%\n", "", 6, "services[0].floor", "missing"},
	{"    slots: 4\n", "", 6, "services[0].slots", "missing"},
	{", deadline_ms: 5000", "", 23, "routes[1].deadline_ms", "missing"},
	{" path: /pay,", "", 23, "routes[1].path", "missing"},
	{" service: checkout,", "", 23, "routes[1].service", "missing"},
	{"name: pay, ", "", 23, "routes[1].name", "missing"},
	{", region: pnw}", "}", 3, "failure_domains[0].region", "missing"},
	{", failure_domain: pnw-a}", "}", 10,
	 "services[0].servers[0].failure_domain", "missing"},
	{" count: 3,", "", 20, "services[1].server_ranges[0].count", "missing"},
	/* Values and ranges */
	{"slots: 4", "slots: 0", 8, "services[0].slots", "from 1 to 1000"},
	{"slots: 4", "slots: four", 8, "services[0].slots", "whole number"},
	{"slots: 4", "slots: 99999999999999999999", 8, "services[0].slots",
	 "whole number"},
	{"slots: 4", "slots: 4\n    queue: 0", 9, "services[0].queue",
	 "from 1 to 4096"},
	{"slots: 4", "slots: 4\n    retry_percent: 101", 9,
	 "services[0].retry_percent", "from 0 to 100"},
	{"slots: 4", "slots: 4\n    slow_start_ms: -1", 9,
	 "services[0].slow_start_ms", "from 0 to 600000 ms"},
	{"slots: 4", "slots: 4\n    detection: slow", 9,
	 "services[0].detection", "careful, balanced, quick"},
	{"slots: 4", "slots: 4\n    leaving: maybe", 9, "services[0].leaving",
	 "true nor false"},
	{"floor: 60%", "floor: 101%", 7, "services[0].floor", "0% to 100%"},
	{"floor: 60%", "floor: -1%", 7, "services[0].floor", "0% to 100%"},
	{"floor: 60%", "floor: 60", 7, "services[0].floor", "such as \"75%\""},
	{"floor: 60%", "floor: nan%", 7, "services[0].floor", "a share"},
	{"[503]", "[503, 200]", 16, "services[1].not_run_status[1]",
	 "from 400 to 599"},
	{"good: 99.9%", "good: 100%", 17, "services[1].objective.good",
	 "1% to 99.999%"},
	{"latency_ms: 900", "latency_ms: 0", 17,
	 "services[1].objective.latency_ms", "from 1 to"},
	{"path: /health", "path: health", 18, "services[1].probe.path",
	 "normalised"},
	{"interval_ms: 2000", "interval_ms: 5", 18,
	 "services[1].probe.interval_ms", "from 100 to 60000 ms"},
	{"10.0.0.1:80", "10.0.0.1", 10, "services[0].servers[0].address",
	 "such as 10.0.0.1:8080"},
	{"10.0.0.1:80", "host:80", 10, "services[0].servers[0].address",
	 "an IP number"},
	{"10.0.0.1:80", "10.0.0.1:70000", 10, "services[0].servers[0].address",
	 "not an address"},
	{"10.0.0.1:80", "10.0.0.1:0", 10, "services[0].servers[0].address",
	 "not an address"},
	{"name: lookup-1", "name: lookup/1", 10, "services[0].servers[0].name",
	 "not a name"},
	{"count: 3", "count: 1001", 20, "services[1].server_ranges[0].count",
	 "from 1 to 1000"},
	{"priority: high", "priority: top", 23, "routes[1].priority",
	 "high, normal, low"},
	{"repeat: allowed, tries: 3", "repeat: yes", 22, "routes[0].repeat",
	 "never, allowed"},
	{"tries: 3", "tries: 9", 22, "routes[0].tries", "from 1 to 8"},
	{"repeat: allowed, tries: 3", "tries: 2", 22, "routes[0].tries",
	 "never repeated"},
	{"[POST]", "[SPLICE]", 23, "routes[1].methods[0]", "GET, HEAD, POST"},
	{"[POST]", "[]", 23, "routes[1].methods", "empty"},
	{"deadline_ms: 5000", "deadline_ms: 0", 23, "routes[1].deadline_ms",
	 "from 1 to 600000 ms"},
	{"priority: high", "body_max_bytes: 262145", 23,
	 "routes[1].body_max_bytes", "to 262144 bytes"},
	{"path: /pay", "path: pay", 23, "routes[1].path", "normalised"},
	{"path: /pay", "path: /a//pay", 23, "routes[1].path", "normalised"},
	{"path: /pay", "path: /a/../pay", 23, "routes[1].path", "normalised"},
	{"path: /pay", "path: /pay/..", 23, "routes[1].path", "normalised"},
	{"path: /pay", "path: /pay/", 23, "routes[1].path", "normalised"},
	{"path: /pay", "path: /p%41y", 23, "routes[1].path", "normalised"},
	{"path: /pay", "path: /pay, host: \"Pay:80\"", 23, "routes[1].host",
	 "lower case"},
	/* Duplicates */
	{"name: pnw-b", "name: pnw-a", 4, "failure_domains[1].name",
	 "there twice"},
	{"name: checkout", "name: lookup", 12, "services[1].name",
	 "there twice"},
	{"lookup-2", "lookup-1", 11, "services[0].servers[1].name",
	 "there twice"},
	{"lookup-2", "checkout-2", 20, "services[1].server_ranges[0].prefix",
	 "there twice"},
	{"10.0.0.2:80", "10.0.0.1:80", 11, "services[0].servers[1].address",
	 "lookup-1 and lookup-2 have the same address"},
	{"10.0.0.2:80", "10.0.1.3:80", 20,
	 "services[1].server_ranges[0].address",
	 "lookup-2 and checkout-3 have the same address"},
	{"name: pay", "name: status", 23, "routes[1].name", "there twice"},
	/* References */
	{"failure_domain: pnw-b", "failure_domain: pnw-c", 11,
	 "services[0].servers[1].failure_domain", "unknown failure domain"},
	{"[pnw-a, pnw-b]", "[pnw-a, pnw-c]", 20,
	 "services[1].server_ranges[0].failure_domains",
	 "unknown failure domain"},
	{"[lookup]", "[payments]", 13, "services[1].depends_on[0]",
	 "unknown service"},
	{"[lookup]", "[lookup, lookup]", 13, "services[1].depends_on[1]",
	 "there twice"},
	{"[lookup]", "[checkout]", 13, "services[1].depends_on",
	 "checkout -> checkout"},
	{"slots: 4", "slots: 4\n    depends_on: [checkout]", 9,
	 "services[0].depends_on", "lookup -> checkout -> lookup"},
	{"slots: 4", "slots: 4\n    leaving: true", 14,
	 "services[1].depends_on[0]", "lookup is leaving while checkout"},
	{"service: checkout", "service: payments", 23, "routes[1].service",
	 "unknown service"},
	{"/pay, methods: [POST]", "/status, methods: [POST, GET]", 23,
	 "routes[1].path", "status and pay overlap"},
	{"path: /pay, methods: [POST]", "paths: [/pay, /status]", 23,
	 "routes[1].paths[1]", "status and pay/status overlap"},
	{"path: /pay", "path: /pay, paths: [/a]", 23, "routes[1].paths",
	 "keep one"},
	{"path: /pay", "paths: []", 23, "routes[1].paths", "empty"},
	{"path: /pay", "paths: [a]", 23, "routes[1].paths[0]", "normalised"},
	{"path: /pay", "paths: [/a-path-of-forty-five-bytes-is-too-long-here1]",
	 23, "routes[1].paths[0]", "more than 47 bytes"},
	/* Size */
	{"    server_ranges:\n", "    server_ranges: []\n    servers:\n", 21,
	 "services[1].servers[0].prefix", "unknown setting"},
};

/* The good text with one part replaced. */
static char *with_part(const char *find, const char *with)
{
	const char *at = strstr(good_text, find);

	g_assert_nonnull(at);
	return g_strdup_printf("%.*s%s%s", (int)(at - good_text), good_text,
			       with, at + strlen(find));
}

static const struct cfg_problem *find_problem(const GPtrArray *problems,
					      const struct bad_case *c)
{
	for (guint i = 0; i < problems->len; i++) {
		const struct cfg_problem *p = g_ptr_array_index(problems, i);

		if (p->line == c->line && !strcmp(p->path, c->path) &&
		    strstr(p->text, c->says))
			return p;
	}
	return NULL;
}

static void check_case(const struct bad_case *c)
{
	g_autofree char *text = with_part(c->find, c->with);
	g_autoptr(GPtrArray) problems = NULL;
	struct cfg *cfg;
	int err = cfg_load(text, 1, &problems, &cfg);

	cfg_unref(cfg);
	if (err == FS_E_CONFIG && !cfg && find_problem(problems, c))
		return;
	for (guint i = 0; i < problems->len; i++) {
		const struct cfg_problem *p = g_ptr_array_index(problems, i);

		g_test_message("got %d %s: %s", p->line, p->path, p->text);
	}
	g_test_message("err %d, %s -> %s: %d %s: %s", err, c->find, c->with,
		       c->line, c->path, c->says);
	g_test_fail();
}

static void test_each_check(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bad_cases); i++)
		check_case(&bad_cases[i]);
}

static struct cfg *load_version(const char *text, uint64_t version)
{
	g_autoptr(GPtrArray) problems = NULL;
	struct cfg *cfg;

	cfg_load(text, version, &problems, &cfg);
	for (guint i = 0; i < problems->len; i++) {
		const struct cfg_problem *p = g_ptr_array_index(problems, i);

		g_test_message("%d %s: %s", p->line, p->path, p->text);
	}
	g_assert_nonnull(cfg);
	g_assert_cmpuint(problems->len, ==, 0);
	return cfg;
}

static struct cfg *load(const char *text)
{
	return load_version(text, 7);
}

static void test_good_text(void)
{
	CFG_AUTO struct cfg *cfg = load(good_text);
	handle checkout = cfg_find_service(cfg, "checkout");
	handle pay = cfg_find_route(cfg, "pay");
	handle third = cfg_find_server(cfg, "checkout-3");
	const struct cfg_service *s = &cfg->services[checkout];

	g_assert_cmpuint(cfg->version, ==, 7);
	g_assert_cmpuint(cfg_find_server(cfg, "checkout-4"), ==, FS_NONE);
	g_assert_cmpuint(s->server_count, ==, 3);
	g_assert_cmpuint(s->floor, ==, 750);
	g_assert_cmpuint(s->queue, ==, FS_QUEUE_DEFAULT);
	g_assert_cmpuint(s->detection, ==, CFG_DETECT_BALANCED);
	g_assert_cmpuint(s->retry_percent, ==, 10);
	g_assert_cmpint(s->slow_start_us, ==, 10 * FS_US_PER_S);
	g_assert_cmpfloat_with_epsilon(s->objective_good, 0.999, 1e-9);
	g_assert_cmpint(s->objective_us, ==, 900 * FS_US_PER_MS);
	g_assert_cmpstr(s->probe_path, ==, "/health");
	g_assert_cmpstr(cfg->servers[third].address, ==, "10.0.1.3:80");
	g_assert_cmpstr(cfg->domains[cfg->servers[third].domain].name, ==,
			"pnw-a");
	g_assert_cmpuint(cfg->routes[pay].service, ==, checkout);
	g_assert_cmpuint(cfg->routes[pay].priority, ==, CFG_PRIORITY_HIGH);
	g_assert_cmpuint(cfg->routes[pay].methods, ==, CFG_POST);
	g_assert_false(cfg->routes[pay].repeatable);
	g_assert_cmpuint(cfg->routes[pay].tries, ==, 1);
	g_assert_cmpstr(cfg->routes[pay].host, ==, "*");
	g_assert_cmpuint(cfg->routes[0].methods, ==, CFG_GET | CFG_HEAD);
}

static void test_path_lists(void)
{
	g_autofree char *text = with_part("path: /pay", "paths: [/pay, /bibs]");
	CFG_AUTO struct cfg *cfg = load(text);
	handle bibs = cfg_find_route(cfg, "pay/bibs");

	g_assert_cmpuint(cfg->route_count, ==, 3);
	g_assert_cmpuint(cfg_find_route(cfg, "pay"), ==, FS_NONE);
	g_assert_cmpstr(cfg->routes[bibs].path, ==, "/bibs");
	g_assert_cmpuint(cfg->routes[bibs].methods, ==, CFG_POST);
	g_assert_cmpint(cfg->routes[bibs].deadline_us, ==, 5 * FS_US_PER_S);
}

static void test_floor_rounds_up(void)
{
	CFG_AUTO struct cfg *cfg = load(good_text);

	g_assert_cmpuint(cfg_servers_in_region(cfg, 1, "pnw"), ==, 3);
	g_assert_cmpuint(cfg_floor_in_region(cfg, 1, "pnw"), ==, 3);
	g_assert_cmpuint(cfg_floor_in_region(cfg, 0, "pnw"), ==, 2);
	g_assert_cmpuint(cfg_floor_in_region(cfg, 0, "elsewhere"), ==, 0);
}

static void check_example(const char *path, uint32_t servers)
{
	g_autofree char *text = NULL;
	struct cfg *cfg;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	cfg = load(text);
	g_assert_cmpuint(cfg->server_count, ==, servers);
	cfg_unref(cfg);
}

static void test_examples(void)
{
	check_example("examples/cascade.yaml", 8 + 12 + 6 + 12);
	check_example("examples/nounou.yaml", 8 + 16 + 6 + 11);
}

static void test_finds_all_at_once(void)
{
	g_autofree char *text =
		with_part("floor: 60%\n    slots: 4",
			  "floor: 60\n    slots: 0\n    size: {a: [1]}");
	g_autoptr(GPtrArray) problems = NULL;
	struct cfg *cfg;

	cfg_load(text, 1, &problems, &cfg);
	g_assert_null(cfg);
	g_assert_cmpuint(problems->len, ==, 3);
}

static void test_too_long(void)
{
	g_autofree char *text = g_strnfill(FS_CONFIG_MAX + 1, '#');
	g_autoptr(GPtrArray) problems = NULL;
	struct cfg *cfg;

	g_assert_cmpint(cfg_load(text, 1, &problems, &cfg), ==, FS_E_CONFIG);
	g_assert_cmpuint(problems->len, ==, 1);
}

/* Texts that ask for much more memory or time than their size. */
static void test_bombs_are_bounded(void)
{
	static const char *const parts[] = {"[", "{a: ", "- ", "? "};

	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		g_autoptr(GString) text = g_string_new(NULL);
		g_autoptr(GPtrArray) problems = NULL;
		struct cfg *cfg;
		int64_t start = g_get_monotonic_time();

		while (text->len < FS_CONFIG_MAX - 8)
			g_string_append(text, parts[i]);
		cfg_load(text->str, 1, &problems, &cfg);
		g_assert_cmpuint(problems->len, >, 0);
		g_assert_cmpint(g_get_monotonic_time() - start, <, FS_US_PER_S);
	}
}

static void test_server_total_is_bounded(void)
{
	g_autoptr(GString) text = g_string_new(
		"deployment: a\nfailure_domains: [{name: d, region: r}]\n"
		"services:\n  - name: s\n    floor: 0%\n    slots: 1\n"
		"    server_ranges:\n");
	g_autoptr(GPtrArray) problems = NULL;
	struct cfg *cfg;

	for (int i = 0; i <= CFG_SERVERS_MAX / 1000; i++)
		g_string_append_printf(
			text,
			"      - {prefix: s%d-, count: 1000, address: "
			"\"10.%d.0.1:80\", failure_domains: [d]}\n",
			i, i);
	cfg_load(text->str, 1, &problems, &cfg);
	g_assert_null(cfg);
	g_assert_nonnull(strstr(
		((struct cfg_problem *)g_ptr_array_index(problems, 0))->text,
		"servers in all"));
}

/* Changes a text of version 7 to one of @version. */
static guint change_to_version(const char *before, const char *after,
			       uint64_t version)
{
	CFG_AUTO struct cfg *old = load(before);
	CFG_AUTO struct cfg *new = load_version(after, version);
	GPtrArray *found;
	struct cfg *none;
	guint count;

	/* an array of the right kind comes from a load */
	cfg_load(good_text, 1, &found, &none);
	cfg_unref(none);
	cfg_check_change(old, new, found);
	count = found->len;
	g_ptr_array_unref(found);
	return count;
}

static guint change_problems(const char *before, const char *after)
{
	return change_to_version(before, after, 8);
}

static void test_change(void)
{
	const char *checkout = strstr(good_text, "  - name: checkout");
	const char *routes = strstr(good_text, "routes:");
	g_autofree char *without = g_strdup_printf(
		"%.*sroutes: []\n", (int)(checkout - good_text), good_text);
	g_autofree char *leaving =
		with_part("    depends_on: [lookup]\n", "    leaving: true\n");
	g_autofree char *other = with_part("cascade", "nounou");

	g_assert_nonnull(routes);
	g_assert_cmpuint(change_problems(good_text, good_text), ==, 0);
	g_assert_cmpuint(change_problems(good_text, without), ==, 1);
	g_assert_cmpuint(change_problems(leaving, without), ==, 0);
	g_assert_cmpuint(change_problems(without, good_text), ==, 0);
	g_assert_cmpuint(change_problems(good_text, other), ==, 1);
	g_assert_cmpint(cfg_check_change(NULL, NULL, NULL), ==, 0);
	/* a text that is not put yet has no version */
	g_assert_cmpuint(change_to_version(good_text, without, 0), ==, 1);
	/* a node that missed the version in which checkout was leaving */
	g_assert_cmpuint(change_to_version(good_text, without, 9), ==, 0);
	g_assert_cmpuint(change_to_version(good_text, other, 9), ==, 1);
}

/* lookup goes while checkout, in force, depends on it: two findings. */
static void test_change_removes_dependency(void)
{
	static const char after[] =
		"deployment: cascade\n"
		"failure_domains: [{name: pnw-a, region: pnw}]\n"
		"services:\n"
		"  - {name: checkout, floor: 75%, slots: 4, server_ranges: ["
		"{prefix: checkout-, count: 3, address: \"10.0.1.1:80\","
		" failure_domains: [pnw-a]}]}\n";

	g_assert_cmpuint(change_problems(good_text, after), ==, 2);
}

static void test_diff(void)
{
	g_autofree char *text = with_part("floor: 60%", "floor: 50%");
	g_autofree char *gone = with_part("name: pay", "name: pay2");
	CFG_AUTO struct cfg *a = load(good_text);
	CFG_AUTO struct cfg *b = load(text);
	CFG_AUTO struct cfg *c = load(gone);
	g_autoptr(GPtrArray) none = cfg_diff(a, a);
	g_autoptr(GPtrArray) floor = cfg_diff(a, b);
	g_autoptr(GPtrArray) route = cfg_diff(a, c);
	g_autoptr(GString) out = g_string_new(NULL);

	g_assert_cmpuint(none->len, ==, 0);
	cfg_diff_text(floor, out);
	g_assert_cmpstr(out->str, ==, "service lookup: floor 60% -> 50%\n");
	g_string_truncate(out, 0);
	cfg_diff_json(floor, out);
	g_assert_cmpstr(out->str, ==,
			"[{\"kind\":\"service\",\"name\":\"lookup\","
			"\"setting\":\"floor\",\"before\":\"60%\","
			"\"after\":\"50%\"}]");
	g_string_truncate(out, 0);
	cfg_diff_text(route, out);
	g_assert_nonnull(strstr(out->str, "route pay removed\n"));
	g_assert_nonnull(strstr(out->str, "route pay2 added: host *"));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cfg/good_text", test_good_text);
	g_test_add_func("/cfg/each_check", test_each_check);
	g_test_add_func("/cfg/path_lists", test_path_lists);
	g_test_add_func("/cfg/floor_rounds_up", test_floor_rounds_up);
	g_test_add_func("/cfg/examples", test_examples);
	g_test_add_func("/cfg/finds_all_at_once", test_finds_all_at_once);
	g_test_add_func("/cfg/too_long", test_too_long);
	g_test_add_func("/cfg/bombs_are_bounded", test_bombs_are_bounded);
	g_test_add_func("/cfg/server_total_is_bounded",
			test_server_total_is_bounded);
	g_test_add_func("/cfg/change", test_change);
	g_test_add_func("/cfg/change_removes_dependency",
			test_change_removes_dependency);
	g_test_add_func("/cfg/diff", test_diff);
	return g_test_run();
}
