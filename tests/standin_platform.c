/**
 * @file standin_platform.c
 * @brief Stand-in of the platform: key-value service, leases and VM list.
 *
 * Endpoints are those of plt.h, and for tests:
 *   PUT  /vms?lag_ms=N     the JSON array of VMs, shown to readers after N ms
 *   POST /lease?ttl_ms=N   {"lease":id}; PUT /lease/ID renews it
 *   PUT  /kv/KEY?prev=N&lease=ID   the key goes when the lease lapses
 *   POST /fault?mode=none|down|slow|lose_replies&ms=N&count=N&permille=N
 *   GET  /stats            {"reads":n,"writes":n,"watches":n,"waiting":n}
 * Faults concern /kv, /lease and reads of /vms. A count of 0 lasts until the
 * next /fault. Limits: values up to a megabyte.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fs_log.h"
#include "fs_types.h"
#include "htd.h"

#define VALUE_MAX (1 << 20)
#define MAX_SECONDS_DEFAULT 600.0

enum fault_mode {
	FAULT_NONE,
	FAULT_DOWN,
	FAULT_SLOW,
	FAULT_LOSE_REPLIES
};

/** One key; without a value it was removed and keeps its revision. */
struct kv_entry {
	uint64_t revision;
	uint64_t lease;
	GString *value;
};

/** One request. */
struct request {
	struct MHD_Connection *connection;
	const char *method;
	char *url;
	GString *body;
	ev_timer timer;
	bool parked;	/* suspended */
	bool watching;	/* parked until its key changes */
	bool timed_out; /* the wait is over */
	bool slowed;	/* its delay is over */
	bool counted;	/* in the read and watch counts */
};

/** A VM list that readers do not see yet. */
struct vms_change {
	int64_t due_us;
	char *json;
};

static struct {
	struct ev_loop *loop;
	struct htd *htd;
	GHashTable *keys;     /* char * to struct kv_entry * */
	GHashTable *leases;   /* id to expiry in us, both GINT pointers */
	GHashTable *requests; /* parked ones */
	GQueue vms_changes;
	char *vms;
	uint64_t last_lease;
	uint64_t reads, writes, watches;
	enum fault_mode fault;
	int64_t fault_ms, fault_left, fault_permille;
	GRand *rand;
} app;

static int64_t argument(struct request *r, const char *name, int64_t otherwise)
{
	const char *text = MHD_lookup_connection_value(
		r->connection, MHD_GET_ARGUMENT_KIND, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : otherwise;
}

static enum MHD_Result reply(struct request *r, unsigned int status,
			     const char *json)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(json), (void *)json, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	MHD_add_response_header(response, "Content-Type", "application/json");
	result = MHD_queue_response(r->connection, status, response);
	MHD_destroy_response(response);
	return result;
}

static void park(struct request *r, int64_t ms)
{
	r->parked = true;
	g_hash_table_add(app.requests, r);
	MHD_suspend_connection(r->connection);
	ev_timer_set(&r->timer, (double)ms / 1000.0, 0.0);
	ev_timer_start(app.loop, &r->timer);
}

static void unpark(struct request *r)
{
	if (!r->parked)
		return;
	r->parked = false;
	r->watching = false;
	g_hash_table_remove(app.requests, r);
	ev_timer_stop(app.loop, &r->timer);
	MHD_resume_connection(r->connection);
	htd_kick(app.htd);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct request *r = timer->data;

	(void)loop;
	(void)events;
	if (r->watching)
		r->timed_out = true;
	unpark(r);
}

static void unpark_watches(void)
{
	g_autoptr(GList) all = g_hash_table_get_keys(app.requests);

	for (GList *l = all; l; l = l->next)
		if (((struct request *)l->data)->watching)
			unpark(l->data);
}

static bool lease_live(uint64_t id)
{
	int64_t *expiry = g_hash_table_lookup(app.leases, GSIZE_TO_POINTER(id));

	return expiry && fs_now_us() < *expiry;
}

static void lease_set(uint64_t id, int64_t ttl_ms)
{
	int64_t *expiry = g_new(int64_t, 1);

	*expiry = fs_now_us() + ttl_ms * FS_US_PER_MS;
	g_hash_table_insert(app.leases, GSIZE_TO_POINTER(id), expiry);
}

static void kv_entry_free(void *data)
{
	struct kv_entry *entry = data;

	if (entry->value)
		g_string_free(entry->value, TRUE);
	g_free(entry);
}

/* Returns the entry of a key, removed first if its lease has lapsed. */
static struct kv_entry *kv_find(const char *key)
{
	struct kv_entry *entry = g_hash_table_lookup(app.keys, key);

	if (entry && entry->value && entry->lease &&
	    !lease_live(entry->lease)) {
		g_string_free(entry->value, TRUE);
		entry->value = NULL;
		entry->revision++;
	}
	return entry;
}

static enum MHD_Result kv_get(struct request *r, const char *key)
{
	int64_t after = argument(r, "after", -1);
	struct kv_entry *entry = kv_find(key);
	g_autoptr(GString) json = g_string_new(NULL);

	if (!r->counted)
		after < 0 ? app.reads++ : app.watches++;
	r->counted = true;
	if (after >= 0 &&
	    (!entry || !entry->value || entry->revision <= (uint64_t)after)) {
		if (r->timed_out)
			return reply(r, MHD_HTTP_NOT_MODIFIED, "");
		r->watching = true;
		park(r, argument(r, "wait_ms", 0));
		return MHD_YES;
	}
	if (!entry || !entry->value)
		return reply(r, MHD_HTTP_NOT_FOUND, "{}");
	g_string_printf(json, "{\"revision\":%" G_GUINT64_FORMAT ",\"value\":",
			entry->revision);
	fs_json_string(json, entry->value->str);
	g_string_append_c(json, '}');
	return reply(r, MHD_HTTP_OK, json->str);
}

static enum MHD_Result kv_put(struct request *r, const char *key)
{
	struct kv_entry *entry = kv_find(key);
	uint64_t at = entry && entry->value ? entry->revision : 0;
	uint64_t lease = (uint64_t)argument(r, "lease", 0);
	char json[64];

	app.writes++;
	if (lease && !lease_live(lease))
		return reply(r, MHD_HTTP_GONE, "{\"error\":\"lease\"}");
	if (at != (uint64_t)argument(r, "prev", 0)) {
		g_snprintf(json, sizeof(json),
			   "{\"revision\":%" G_GUINT64_FORMAT "}", at);
		return reply(r, MHD_HTTP_CONFLICT, json);
	}
	if (!entry) {
		entry = g_new0(struct kv_entry, 1);
		g_hash_table_insert(app.keys, g_strdup(key), entry);
	}
	if (entry->value)
		g_string_free(entry->value, TRUE);
	entry->value = g_string_new_len(r->body->str, (gssize)r->body->len);
	entry->lease = lease;
	entry->revision++;
	unpark_watches();
	g_snprintf(json, sizeof(json), "{\"revision\":%" G_GUINT64_FORMAT "}",
		   entry->revision);
	return reply(r, MHD_HTTP_OK, json);
}

static enum MHD_Result lease_new(struct request *r)
{
	char json[64];

	lease_set(++app.last_lease, argument(r, "ttl_ms", 10000));
	g_snprintf(json, sizeof(json), "{\"lease\":%" G_GUINT64_FORMAT "}",
		   app.last_lease);
	return reply(r, MHD_HTTP_OK, json);
}

static enum MHD_Result lease_renew(struct request *r, const char *id_text)
{
	uint64_t id = g_ascii_strtoull(id_text, NULL, 10);

	if (!lease_live(id))
		return reply(r, MHD_HTTP_NOT_FOUND, "{}");
	lease_set(id, argument(r, "ttl_ms", 10000));
	return reply(r, MHD_HTTP_OK, "{}");
}

static void vms_advance(void)
{
	struct vms_change *change;

	while ((change = g_queue_peek_head(&app.vms_changes)) &&
	       change->due_us <= fs_now_us()) {
		g_free(app.vms);
		app.vms = change->json;
		g_free(g_queue_pop_head(&app.vms_changes));
	}
}

static enum MHD_Result vms_get(struct request *r)
{
	g_autofree char *json = NULL;

	app.reads++;
	vms_advance();
	json = g_strdup_printf("{\"vms\":%s}", app.vms);
	return reply(r, MHD_HTTP_OK, json);
}

static enum MHD_Result vms_put(struct request *r)
{
	struct vms_change *change = g_new0(struct vms_change, 1);

	change->due_us = fs_now_us() + argument(r, "lag_ms", 0) * FS_US_PER_MS;
	change->json = g_strdup(r->body->str);
	g_queue_push_tail(&app.vms_changes, change);
	return reply(r, MHD_HTTP_OK, "{}");
}

static enum MHD_Result fault_set(struct request *r)
{
	static const char *const names[] = {"none", "down", "slow",
					    "lose_replies"};
	const char *mode = MHD_lookup_connection_value(
		r->connection, MHD_GET_ARGUMENT_KIND, "mode");
	guint i = 0;

	while (i < G_N_ELEMENTS(names) && g_strcmp0(mode, names[i]))
		i++;
	if (i == G_N_ELEMENTS(names))
		return reply(r, MHD_HTTP_BAD_REQUEST, "{}");
	app.fault = (enum fault_mode)i;
	app.fault_ms = argument(r, "ms", 0);
	app.fault_left = argument(r, "count", 0);
	app.fault_permille = argument(r, "permille", 1000);
	if (app.fault == FAULT_DOWN)
		unpark_watches();
	return reply(r, MHD_HTTP_OK, "{}");
}

static enum MHD_Result stats_get(struct request *r)
{
	char json[160];

	g_snprintf(json, sizeof(json),
		   "{\"reads\":%" G_GUINT64_FORMAT
		   ",\"writes\":%" G_GUINT64_FORMAT
		   ",\"watches\":%" G_GUINT64_FORMAT ",\"waiting\":%u}",
		   app.reads, app.writes, app.watches,
		   g_hash_table_size(app.requests));
	return reply(r, MHD_HTTP_OK, json);
}

/* Returns whether the fault in force strikes this call, and counts it. */
static bool fault_strikes(void)
{
	if (app.fault == FAULT_NONE ||
	    g_rand_int_range(app.rand, 0, 1000) >= app.fault_permille)
		return false;
	if (app.fault_left && --app.fault_left == 0)
		app.fault = FAULT_NONE;
	return true;
}

/* Serves a call that faults may concern. */
static enum MHD_Result serve(struct request *r)
{
	bool get = !strcmp(r->method, "GET");

	if (g_str_has_prefix(r->url, "/kv/") && strlen(r->url) > 4)
		return get ? kv_get(r, r->url + 4) : kv_put(r, r->url + 4);
	if (!strcmp(r->url, "/vms"))
		return vms_get(r);
	if (!strcmp(r->url, "/lease"))
		return lease_new(r);
	if (g_str_has_prefix(r->url, "/lease/"))
		return lease_renew(r, r->url + 7);
	return reply(r, MHD_HTTP_NOT_FOUND, "{}");
}

static enum MHD_Result act(struct request *r)
{
	enum fault_mode fault = app.fault;

	if (!strcmp(r->url, "/fault"))
		return fault_set(r);
	if (!strcmp(r->url, "/stats"))
		return stats_get(r);
	if (!strcmp(r->url, "/vms") && !strcmp(r->method, "PUT"))
		return vms_put(r);
	if (fault == FAULT_LOSE_REPLIES && strcmp(r->method, "PUT") != 0)
		return serve(r);
	if (r->slowed || r->timed_out || !fault_strikes())
		return serve(r);
	if (fault == FAULT_SLOW) {
		r->slowed = true;
		park(r, app.fault_ms);
		return MHD_YES;
	}
	if (fault == FAULT_LOSE_REPLIES)
		serve(r);
	return MHD_NO; /* closes the connection without an answer */
}

static enum MHD_Result on_access(void *arg, struct MHD_Connection *connection,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *size, void **state)
{
	struct request *r = *state;

	(void)arg;
	(void)version;
	if (!r) {
		r = g_new0(struct request, 1);
		r->connection = connection;
		r->method = method;
		r->url = g_strdup(url);
		r->body = g_string_new(NULL);
		ev_init(&r->timer, on_timer);
		r->timer.data = r;
		*state = r;
		return MHD_YES;
	}
	if (*size) {
		if (r->body->len + *size > VALUE_MAX)
			return MHD_NO;
		g_string_append_len(r->body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	return act(r);
}

static void on_completed(void *arg, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode why)
{
	struct request *r = *state;

	(void)arg;
	(void)connection;
	(void)why;
	if (!r)
		return;
	ev_timer_stop(app.loop, &r->timer);
	g_hash_table_remove(app.requests, r);
	g_free(r->url);
	g_string_free(r->body, TRUE);
	g_free(r);
	*state = NULL;
}

static void on_end(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static bool start(uint16_t port)
{
	const struct htd_ops ops = {.access = on_access,
				    .completed = on_completed};
	const struct htd_limits limits = {4096, 120, 32 * 1024};
	struct sockaddr_in bind = {.sin_family = AF_INET,
				   .sin_port = htons(port)};
	struct sockaddr_in bound;

	struct htd_accounts accounts = {.ctr = ctr_new()};

	bind.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	app.loop = ev_default_loop(0);
	app.keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 kv_entry_free);
	app.leases = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	app.requests = g_hash_table_new(NULL, NULL);
	app.vms = g_strdup("[]");
	app.rand = g_rand_new_with_seed(1);
	app.htd = htd_start(app.loop, &bind, &limits, &accounts, &ops, NULL,
			    &bound);
	if (!app.htd)
		return false;
	printf("{\"event\":\"listening\",\"address\":\"127.0.0.1:%u\"}\n",
	       (unsigned int)ntohs(bound.sin_port));
	fflush(stdout);
	return true;
}

int main(int argc, char **argv)
{
	double max_seconds = MAX_SECONDS_DEFAULT;
	uint16_t port = 0;
	ev_timer end;

	for (int i = 1; i + 1 < argc; i += 2) {
		if (!strcmp(argv[i], "--port"))
			port = (uint16_t)atoi(argv[i + 1]);
		else if (!strcmp(argv[i], "--max-seconds"))
			max_seconds = g_ascii_strtod(argv[i + 1], NULL);
	}
	if (!start(port)) {
		fprintf(stderr, "standin_platform: cannot listen\n");
		return 1;
	}
	ev_timer_init(&end, on_end, max_seconds, 0.0);
	ev_timer_start(app.loop, &end);
	ev_run(app.loop, 0);
	return 0;
}
