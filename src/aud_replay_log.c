/* Judges a whole log: serials, versions, ejections of each service. */
#include <json-glib/json-glib.h>
#include <string.h>

#include "aud_replay.h"

#include "fs_json.h"

/** What is known of one process of a node. */
struct replay_node {
	uint64_t serial;      /* last seen */
	uint64_t taken;	      /* configuration version taken last */
	GHashTable *versions; /* taken, as pointers */
};

/** An ejection or return. */
struct replay_change {
	struct aud_record rec;
	int64_t epoch;
};

struct aud_replay {
	const struct cfg *cfg;
	GHashTable *nodes; /* "node/incarnation" to struct replay_node */
	GArray *changes;   /* struct replay_change */
	uint64_t records;
	uint64_t other_versions;
};

static void node_free(void *data)
{
	struct replay_node *node = data;

	g_hash_table_unref(node->versions);
	g_free(node);
}

struct aud_replay *aud_replay_new(const struct cfg *cfg)
{
	struct aud_replay *replay = g_new0(struct aud_replay, 1);

	replay->cfg = cfg;
	replay->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      node_free);
	replay->changes =
		g_array_new(FALSE, TRUE, sizeof(struct replay_change));
	return replay;
}

void aud_replay_free(struct aud_replay *replay)
{
	if (!replay)
		return;
	g_hash_table_unref(replay->nodes);
	g_array_unref(replay->changes);
	g_free(replay);
}

/* The member "node" of a log line; a bare record has none. */
static char *node_name(const char *line)
{
	g_autoptr(JsonObject) object = fs_json_parse_object(line, -1);

	if (!object || !json_object_has_member(object, "node"))
		return g_strdup("");
	return g_strdup(
		json_object_get_string_member_with_default(object, "node", ""));
}

static struct replay_node *node_of(struct aud_replay *replay, const char *line,
				   const struct aud_record *rec)
{
	g_autofree char *name = node_name(line);
	char *key = g_strdup_printf("%s/%" G_GUINT64_FORMAT, name,
				    (guint64)rec->incarnation);
	struct replay_node *node = g_hash_table_lookup(replay->nodes, key);

	if (node) {
		g_free(key);
		return node;
	}
	node = g_new0(struct replay_node, 1);
	node->versions = g_hash_table_new(NULL, NULL);
	g_hash_table_insert(replay->nodes, key, node);
	return node;
}

static const char *check_order(struct replay_node *node,
			       const struct aud_record *rec)
{
	bool known;

	if (rec->serial != node->serial + 1) {
		node->serial = rec->serial;
		return "the serials of the node have a gap";
	}
	node->serial = rec->serial;
	if (rec->rule == AUD_R_CONFIG_TAKEN) {
		if (rec->config_version <= node->taken)
			return "the node went back to an older configuration";
		node->taken = rec->config_version;
		g_hash_table_add(node->versions,
				 GSIZE_TO_POINTER(rec->config_version));
		return NULL;
	}
	known = g_hash_table_contains(node->versions,
				      GSIZE_TO_POINTER(rec->config_version));
	if (rec->kind != AUD_CONFIG && rec->config_version && !known)
		return "the node had not taken this configuration";
	return NULL;
}

static void keep_change(struct aud_replay *replay, const struct aud_record *rec)
{
	struct replay_change change = {.rec = *rec};

	if (rec->rule != AUD_R_EJECT && rec->rule != AUD_R_RETURN)
		return;
	if (aud_number_of(rec, "epoch", &change.epoch))
		g_array_append_val(replay->changes, change);
}

int aud_replay_line(struct aud_replay *replay, const char *line, char **reason)
{
	struct aud_record rec;
	const char *why;
	int err = aud_record_parse(line, &rec);

	*reason = NULL;
	if (err == FS_E_NOT_FOUND)
		return 0;
	if (err) {
		*reason = g_strdup("not a record in JSON");
		return err;
	}
	replay->records++;
	if (replay->cfg && rec.config_version != replay->cfg->version)
		replay->other_versions++;
	why = check_order(node_of(replay, line, &rec), &rec);
	keep_change(replay, &rec);
	if (aud_replay_check(replay->cfg, &rec, reason))
		return FS_E_AUDIT;
	if (!why)
		return 0;
	*reason = g_strdup(why);
	return FS_E_AUDIT;
}

static gint by_epoch(gconstpointer a, gconstpointer b)
{
	const struct replay_change *x = a;
	const struct replay_change *y = b;

	return x->epoch < y->epoch ? -1 : x->epoch > y->epoch;
}

static const struct replay_change *change_at(const struct aud_replay *replay,
					     guint i)
{
	return &g_array_index(replay->changes, struct replay_change, i);
}

static bool same_scope(const struct aud_replay *replay,
		       const struct aud_record *a, const struct aud_record *b)
{
	const struct cfg *cfg = replay->cfg;
	handle x;
	handle y;

	if (strcmp(a->service, b->service) != 0)
		return false;
	x = cfg ? cfg_find_server(cfg, a->server) : FS_NONE;
	y = cfg ? cfg_find_server(cfg, b->server) : FS_NONE;
	if (x == FS_NONE || y == FS_NONE)
		return false;
	return !strcmp(cfg->domains[cfg->servers[x].domain].region,
		       cfg->domains[cfg->servers[y].domain].region);
}

/* Whether the server of change @p j is still out before change @p i. */
static bool still_out(const struct aud_replay *replay, guint j, guint i)
{
	const struct aud_record *ejected = &change_at(replay, j)->rec;

	for (guint k = j + 1; k < i; k++) {
		if (!strcmp(change_at(replay, k)->rec.server, ejected->server))
			return false;
	}
	return true;
}

/* Ejections of the same version that the log shows before this one take a
 * place each; a new version may have returned some without a record. */
static int64_t places_before(const struct aud_replay *replay, guint i)
{
	const struct aud_record *rec = &change_at(replay, i)->rec;
	int64_t places = 0;

	for (guint j = 0; j < i; j++) {
		const struct aud_record *other = &change_at(replay, j)->rec;

		if (other->rule == AUD_R_EJECT &&
		    other->config_version == rec->config_version &&
		    strcmp(other->server, rec->server) != 0 &&
		    same_scope(replay, other, rec) && still_out(replay, j, i))
			places++;
	}
	return places;
}

static const char *check_change(const struct aud_replay *replay, guint i)
{
	const struct replay_change *change = change_at(replay, i);
	int64_t out = 0;

	for (guint j = 0; j < i; j++) {
		const struct replay_change *other = change_at(replay, j);

		if (other->epoch == change->epoch &&
		    same_scope(replay, &other->rec, &change->rec))
			return "two changes of a service have the same epoch";
	}
	if (change->rec.rule != AUD_R_EJECT)
		return NULL;
	aud_number_of(&change->rec, "out", &out);
	return places_before(replay, i) > out ?
		       "more servers were out than the record counts" :
		       NULL;
}

int aud_replay_end(struct aud_replay *replay, char **reason)
{
	*reason = NULL;
	g_array_sort(replay->changes, by_epoch);
	for (guint i = 0; i < replay->changes->len; i++) {
		const struct aud_record *rec = &change_at(replay, i)->rec;
		const char *why = check_change(replay, i);

		if (!why)
			continue;
		*reason = g_strdup_printf("%s of %s, serial %" G_GUINT64_FORMAT
					  ": %s",
					  aud_rule_name(rec->rule), rec->server,
					  (guint64)rec->serial, why);
		return FS_E_AUDIT;
	}
	return 0;
}

uint64_t aud_replay_records(const struct aud_replay *replay)
{
	return replay->records;
}

uint64_t aud_replay_other_versions(const struct aud_replay *replay)
{
	return replay->other_versions;
}
