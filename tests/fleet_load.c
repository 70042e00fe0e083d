#include "fleet_load.h"

#include <curl/curl.h>
#include <ev.h>
#include <stdlib.h>
#include <string.h>

#include "crl.h"
#include "fleet_body.h"

#define TICK_S 0.01

/* One load in progress. */
struct load {
	const struct fleet_plan *plan;
	struct ev_loop *loop;
	struct crl *crl;
	ev_timer timer;
	GArray *results;
	unsigned int started;
	unsigned int in_flight;
	unsigned int weights;
	int64_t start_us;
	GRand *rand;
	char prefix[12];
};

/* One request in progress. */
struct call {
	struct load *load;
	CURL *easy;
	struct curl_slist *headers;
	struct fleet_result result;
	uint32_t seed;
	size_t seen;
	bool checked; /* the answer is from a target: check its bytes */
	bool foreign; /* a byte that does not belong here was seen */
	char *url;
};

static void start_call(struct load *load);

static double elapsed_s(const struct load *load)
{
	return (double)(fs_now_us() - load->start_us) / 1e6;
}

static void note_header(struct call *call, const char *line)
{
	struct fleet_result *r = &call->result;

	if (g_str_has_prefix(line, "X-Token:")) {
		g_autofree char *token = g_strstrip(g_strdup(line + 8));

		call->checked = true;
		if (strcmp(token, r->token))
			call->foreign = true;
	} else if (g_str_has_prefix(line, "Fescuesaddle-Outcome:")) {
		r->not_run = strstr(line, "not-run") != NULL;
		r->unknown = strstr(line, "unknown") != NULL;
	} else if (g_str_has_prefix(line, "Fescuesaddle-Error:")) {
		g_autofree char *word = g_strstrip(g_strdup(line + 19));

		g_strlcpy(r->error, word, sizeof(r->error));
	}
}

static size_t take_header(char *data, size_t size, size_t n, void *arg)
{
	g_autofree char *line = g_strndup(data, size * n);

	note_header(arg, line);
	return size * n;
}

static size_t take_body(char *data, size_t size, size_t n, void *arg)
{
	struct call *call = arg;

	for (size_t i = 0; call->checked && i < size * n; i++) {
		uint8_t expected = fleet_body_byte(call->seed, call->seen + i);

		if ((uint8_t)data[i] != expected)
			call->foreign = true;
	}
	call->seen += size * n;
	return size * n;
}

static bool may_start(const struct load *load)
{
	const struct fleet_plan *plan = load->plan;
	double elapsed = elapsed_s(load);

	if (load->started >= plan->total || elapsed >= plan->seconds)
		return false;
	if (load->in_flight >= plan->concurrency)
		return false;
	return plan->rate <= 0 || load->started < elapsed * plan->rate;
}

static void pump(struct load *load)
{
	bool over = load->started >= load->plan->total ||
		    elapsed_s(load) >= load->plan->seconds;

	while (may_start(load))
		start_call(load);
	if (over && !load->in_flight)
		ev_break(load->loop, EVBREAK_ALL);
}

static void on_done(void *arg, CURL *easy, CURLcode code)
{
	struct call *call = arg;
	struct load *load = call->load;
	struct fleet_result *r = &call->result;
	const struct fleet_kind *kind = &load->plan->kinds[r->kind];

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &r->status);
	r->whole = code == CURLE_OK;
	r->own = call->checked && !call->foreign && call->seen == kind->bytes;
	r->took_s = elapsed_s(load) - r->start_s;
	g_array_append_vals(load->results, r, 1);
	load->in_flight--;
	curl_easy_cleanup(easy);
	curl_slist_free_all(call->headers);
	g_free(call->url);
	g_free(call);
	pump(load);
}

static unsigned int choose_kind(struct load *load)
{
	unsigned int dice = (unsigned int)g_rand_int_range(
		load->rand, 0, (gint32)load->weights);

	for (unsigned int i = 0; i < load->plan->kind_count; i++) {
		if (dice < load->plan->kinds[i].weight)
			return i;
		dice -= load->plan->kinds[i].weight;
	}
	return 0;
}

static void add_header(struct call *call, const char *name, const char *value)
{
	g_autofree char *line = g_strdup_printf("%s: %s", name, value);

	call->headers = curl_slist_append(call->headers, line);
}

static void start_call(struct load *load)
{
	const struct fleet_plan *plan = load->plan;
	struct call *call = g_new0(struct call, 1);
	struct fleet_result *r = &call->result;
	const struct fleet_kind *kind;
	g_autofree char *bytes = NULL;

	call->load = load;
	r->kind = choose_kind(load);
	kind = &plan->kinds[r->kind];
	g_snprintf(r->token, sizeof(r->token), "%s-%u", load->prefix,
		   load->started);
	call->seed = fleet_body_seed(r->token);
	call->url = g_strdup_printf(
		"http://%s%s",
		plan->addresses[load->started %
				g_strv_length(
					(char **)(uintptr_t)plan->addresses)],
		kind->path);
	bytes = g_strdup_printf("%zu", kind->bytes);
	add_header(call, "X-Token", r->token);
	add_header(call, "X-Bytes", bytes);
	call->headers = curl_slist_append(call->headers, "Expect:");
	if (kind->keyed)
		add_header(call, "Idempotency-Key", r->token);
	call->easy = curl_easy_init();
	curl_easy_setopt(call->easy, CURLOPT_URL, call->url);
	curl_easy_setopt(call->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, kind->method);
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS,
			 (long)(kind->timeout_s * 1000));
	curl_easy_setopt(call->easy, CURLOPT_HEADERFUNCTION, take_header);
	curl_easy_setopt(call->easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, take_body);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	if (strcmp(kind->method, "GET")) {
		/* The library would repeat it on a connection that broke. */
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, "x=1");
		curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
	}
	r->start_s = elapsed_s(load);
	load->started++;
	load->in_flight++;
	crl_start(load->crl, call->easy, on_done, call);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct load *load = timer->data;

	(void)loop;
	(void)events;
	if (load->plan->tick)
		load->plan->tick(load->plan->arg, elapsed_s(load));
	pump(load);
}

GArray *fleet_load_run(const struct fleet_plan *plan)
{
	static gint serial;
	struct load load = {.plan = plan};

	load.loop = ev_loop_new(EVFLAG_AUTO);
	load.crl = crl_new(load.loop, (long)plan->concurrency);
	load.results = g_array_new(FALSE, TRUE, sizeof(struct fleet_result));
	load.rand = g_rand_new_with_seed(plan->seed);
	g_snprintf(load.prefix, sizeof(load.prefix), "t%d",
		   g_atomic_int_add(&serial, 1));
	for (unsigned int i = 0; i < plan->kind_count; i++)
		load.weights += plan->kinds[i].weight;
	load.start_us = fs_now_us();
	ev_timer_init(&load.timer, on_timer, 0.0, TICK_S);
	load.timer.data = &load;
	ev_timer_start(load.loop, &load.timer);
	ev_run(load.loop, 0);
	crl_free(load.crl);
	ev_loop_destroy(load.loop);
	g_rand_free(load.rand);
	return load.results;
}

static gpointer run_part(gpointer data)
{
	return fleet_load_run(data);
}

GArray *fleet_load_run_parallel(const struct fleet_plan *plan,
				unsigned int threads)
{
	struct fleet_plan parts[FLEET_THREADS_MAX];
	GThread *running[FLEET_THREADS_MAX];
	GArray *all = g_array_new(FALSE, TRUE, sizeof(struct fleet_result));

	g_assert_cmpuint(threads, <=, FLEET_THREADS_MAX);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	for (unsigned int i = 0; i < threads; i++) {
		parts[i] = *plan;
		parts[i].rate = plan->rate / threads;
		parts[i].concurrency = plan->concurrency / threads;
		parts[i].total = plan->total / threads;
		parts[i].seed = plan->seed + i;
		running[i] = g_thread_new("load", run_part, &parts[i]);
	}
	for (unsigned int i = 0; i < threads; i++) {
		g_autoptr(GArray) part = g_thread_join(running[i]);

		g_array_append_vals(all, part->data, part->len);
	}
	return all;
}

static bool is_good(const struct fleet_result *r, int kind)
{
	return r->status == 200 && r->whole && r->own &&
	       (kind < 0 || r->kind == (unsigned int)kind);
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

double fleet_quantile(const GArray *results, int kind, double q,
		      unsigned int *count)
{
	g_autoptr(GArray) times = g_array_new(FALSE, FALSE, sizeof(double));

	for (guint i = 0; i < results->len; i++) {
		const struct fleet_result *r =
			&g_array_index(results, struct fleet_result, i);

		if (is_good(r, kind))
			g_array_append_val(times, r->took_s);
	}
	if (count)
		*count = times->len;
	if (!times->len)
		return -1.0;
	qsort(times->data, times->len, sizeof(double), compare_doubles);
	return g_array_index(times, double,
			     MIN((guint)(q * times->len), times->len - 1));
}

unsigned int fleet_good(const GArray *results, int kind)
{
	unsigned int n = 0;

	for (guint i = 0; i < results->len; i++)
		n += is_good(&g_array_index(results, struct fleet_result, i),
			     kind);
	return n;
}
