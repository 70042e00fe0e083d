#include "ejc_impl.h"

/* Whether the same refusal was recorded for the server a short while ago. */
static bool is_repeated(struct ejc_service *service, const char *name,
			enum aud_rule rule, int64_t now_us)
{
	struct ejc_server *server = ejc_server_get(service, name);

	if (server->refused == rule &&
	    now_us - server->refused_us < EJC_REFUSAL_DEDUP_US)
		return true;
	server->refused = rule;
	server->refused_us = now_us;
	return false;
}

static void begin_record(const struct ejc_service *service, const char *server,
			 enum aud_rule rule, const char *choice, int64_t now_us,
			 struct aud_record *rec)
{
	aud_begin(rec, aud_rule_kind(rule), rule, service->ejc->cfg->version,
		  now_us);
	g_strlcpy(rec->service, service->name, sizeof(rec->service));
	g_strlcpy(rec->server, server, sizeof(rec->server));
	g_strlcpy(rec->choice, choice, sizeof(rec->choice));
}

static enum aud_rule rule_of(const struct flr_decision *decision)
{
	if (decision->err == FS_E_FLOOR)
		return AUD_R_EJECT_FLOOR;
	if (decision->err)
		return AUD_R_EJECT_PLATFORM;
	return decision->give_back ? AUD_R_RETURN : AUD_R_EJECT;
}

static void add_numbers(const struct ejc_service *service,
			const struct flr_decision *decision,
			struct aud_record *rec)
{
	const struct ejc_server *server =
		g_hash_table_lookup(service->servers, decision->server);

	if (rec->rule == AUD_R_EJECT_PLATFORM) {
		aud_add(rec, "err", decision->err);
		return;
	}
	aud_add(rec, "count", decision->count);
	aud_add(rec, "out", decision->out);
	aud_add(rec, "floor", decision->floor);
	aud_add(rec, "epoch", (int64_t)decision->epoch);
	aud_add(rec, "ejections", decision->ejections);
	if (rec->rule != AUD_R_EJECT)
		return;
	aud_add(rec, "judged", decision->judged);
	aud_add(rec, "witnesses", server ? server->path.witnesses : 0);
	aud_add(rec, "told", server ? server->path.told : 0);
	aud_add(rec, "reached", server ? server->path.reached : 0);
}

void ejc_record_decision(struct ejc_service *service,
			 const struct flr_decision *decision, int64_t now_us)
{
	enum aud_rule rule = rule_of(decision);
	struct aud_record rec;

	/* Another node was first, or the text has changed: no choice here. A
	 * return that waits for the platform is not an ejection refused. */
	if (decision->err == FS_E_CONFLICT || decision->err == FS_E_NOT_FOUND ||
	    (decision->err && decision->give_back))
		return;
	if (decision->err &&
	    is_repeated(service, decision->server, rule, now_us))
		return;
	if (!decision->err)
		ejc_server_get(service, decision->server)->refused =
			AUD_RULE_COUNT;
	begin_record(service, decision->server, rule,
		     rule == AUD_R_EJECT  ? "ejected" :
		     rule == AUD_R_RETURN ? "returned" :
					    "kept",
		     now_us, &rec);
	add_numbers(service, decision, &rec);
	aud_emit(service->ejc->node->aud, &rec);
}

void ejc_record_path(struct ejc_service *service, const char *server,
		     const struct ejc_path *path, int64_t now_us)
{
	struct aud_record rec;

	if (is_repeated(service, server, AUD_R_EJECT_PATH, now_us))
		return;
	begin_record(service, server, AUD_R_EJECT_PATH, "kept", now_us, &rec);
	aud_add(&rec, "witnesses", path->witnesses);
	aud_add(&rec, "told", path->told);
	aud_add(&rec, "reached", path->reached);
	aud_emit(service->ejc->node->aud, &rec);
}
