#include "brn.h"

#include <string.h>

#include "fs_log.h"

#define MINUTE_US (60 * FS_US_PER_S)
#define MINUTES 360 /* kept per service */
#define SLOTS 7	    /* hours with causes; the oldest is partly past */
#define SHARES 16   /* causes, and servers, of one hour */
#define SERVICES_MAX 1024
#define BUCKET_MINUTES 5
#define BUCKETS (MINUTES / BUCKET_MINUTES)

static const int windows_min[] = {5, 60, MINUTES};

/** Requests that ended in one minute. */
struct brn_minute {
	int64_t minute; /* since the clock's start */
	uint32_t total;
	uint32_t good;
	uint32_t retried;
};

/** How often one cause or server spoilt an answer. */
struct brn_share {
	char name[FS_NAME_MAX];
	uint32_t count;
};

/** What burned in one hour; made when the first answer is bad. */
struct brn_hour {
	int64_t hour;
	struct brn_share causes[SHARES];
	struct brn_share servers[SHARES];
};

/** One service; minutes stand at their number modulo MINUTES. */
struct brn_service {
	struct brn_minute minutes[MINUTES];
	struct brn_hour *hours[SLOTS];
};

struct brn {
	GHashTable *services; /* name to struct brn_service */
};

static void service_free(void *data)
{
	struct brn_service *service = data;

	for (int i = 0; i < SLOTS; i++)
		g_free(service->hours[i]);
	g_free(service);
}

struct brn *brn_new(void)
{
	struct brn *brn = g_new0(struct brn, 1);

	brn->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      service_free);
	return brn;
}

void brn_free(struct brn *brn)
{
	if (!brn)
		return;
	g_hash_table_unref(brn->services);
	g_free(brn);
}

static struct brn_service *find_service(struct brn *brn, const char *name)
{
	struct brn_service *service = g_hash_table_lookup(brn->services, name);

	if (service || g_hash_table_size(brn->services) >= SERVICES_MAX)
		return service;
	service = g_new0(struct brn_service, 1);
	g_hash_table_insert(brn->services, g_strdup(name), service);
	return service;
}

static struct brn_minute *find_minute(struct brn_service *service,
				      int64_t minute)
{
	struct brn_minute *m = &service->minutes[minute % MINUTES];

	if (m->minute != minute)
		*m = (struct brn_minute){.minute = minute};
	return m;
}

static struct brn_hour *find_hour(struct brn_service *service, int64_t hour)
{
	struct brn_hour **slot = &service->hours[hour % SLOTS];

	if (!*slot)
		*slot = g_new0(struct brn_hour, 1);
	else if ((*slot)->hour != hour)
		memset(*slot, 0, sizeof(**slot));
	(*slot)->hour = hour;
	return *slot;
}

/* Counts a name; the last entry takes what finds no room. */
static void count_share(struct brn_share *shares, const char *name, uint32_t n)
{
	for (int i = 0; i < SHARES - 1; i++) {
		if (!shares[i].count)
			g_strlcpy(shares[i].name, name, FS_NAME_MAX);
		if (!strcmp(shares[i].name, name)) {
			shares[i].count += n;
			return;
		}
	}
	g_strlcpy(shares[SHARES - 1].name, "others", FS_NAME_MAX);
	shares[SHARES - 1].count += n;
}

void brn_note(struct brn *brn, const char *service, bool good,
	      const char *cause, const char *server, bool retried,
	      int64_t now_us)
{
	struct brn_service *s = find_service(brn, service);
	struct brn_minute *m;
	struct brn_hour *h;

	if (!s)
		return;
	m = find_minute(s, now_us / MINUTE_US);
	m->total++;
	m->good += good;
	m->retried += retried;
	if (good)
		return;
	h = find_hour(s, now_us / (60 * MINUTE_US));
	count_share(h->causes, cause ? cause : "unnamed", 1);
	if (server)
		count_share(h->servers, server, 1);
}

/* Sums the minutes (minute - count, minute]. */
static struct brn_minute sum(const struct brn_service *s, int64_t minute,
			     int count)
{
	struct brn_minute all = {.minute = minute};

	for (int64_t at = minute; at > minute - count && at >= 0; at--) {
		const struct brn_minute *m = &s->minutes[at % MINUTES];

		if (m->minute != at)
			continue;
		all.total += m->total;
		all.good += m->good;
		all.retried += m->retried;
	}
	return all;
}

static void windows_json(const struct brn_service *s, GString *out,
			 int64_t minute)
{
	g_string_append(out, "\"windows\":[");
	for (size_t i = 0; i < G_N_ELEMENTS(windows_min); i++) {
		struct brn_minute m = sum(s, minute, windows_min[i]);

		g_string_append_printf(out,
				       "%s{\"minutes\":%d,\"total\":%u,"
				       "\"good\":%u,\"retried\":%u}",
				       i ? "," : "", windows_min[i], m.total,
				       m.good, m.retried);
	}
	g_string_append(out, "],\"bad_per_5min\":[");
	for (int i = BUCKETS - 1; i >= 0; i--) {
		struct brn_minute m = sum(s,
					  minute - (int64_t)i * BUCKET_MINUTES,
					  BUCKET_MINUTES);

		g_string_append_printf(out, "[%u,%u]%s", m.total,
				       m.total - m.good, i ? "," : "]");
	}
}

static void shares_json(const struct brn_service *s, GString *out,
			const char *member, bool servers, int64_t hour)
{
	g_autofree struct brn_share *all = g_new0(struct brn_share, SHARES);
	const char *comma = "";

	for (int i = 0; i < SLOTS; i++) {
		const struct brn_hour *h = s->hours[i];

		if (!h || h->hour <= hour - SLOTS)
			continue;
		for (int k = 0; k < SHARES; k++) {
			const struct brn_share *from =
				servers ? &h->servers[k] : &h->causes[k];

			if (from->count)
				count_share(all, from->name, from->count);
		}
	}
	g_string_append_printf(out, ",\"%s\":{", member);
	for (int k = 0; k < SHARES && all[k].count; k++) {
		g_string_append(out, comma);
		fs_json_string(out, all[k].name);
		g_string_append_printf(out, ":%u", all[k].count);
		comma = ",";
	}
	g_string_append_c(out, '}');
}

void brn_json(const struct brn *brn, GString *out, int64_t now_us)
{
	GHashTableIter iter;
	const char *comma = "";
	void *name;
	void *service;

	g_string_append(out, "{\"services\":{");
	g_hash_table_iter_init(&iter, brn->services);
	while (g_hash_table_iter_next(&iter, &name, &service)) {
		g_string_append(out, comma);
		fs_json_string(out, name);
		g_string_append(out, ":{");
		windows_json(service, out, now_us / MINUTE_US);
		shares_json(service, out, "causes", false,
			    now_us / (60 * MINUTE_US));
		shares_json(service, out, "servers", true,
			    now_us / (60 * MINUTE_US));
		g_string_append_c(out, '}');
		comma = ",";
	}
	g_string_append(out, "}}");
}
