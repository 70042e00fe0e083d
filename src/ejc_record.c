#include "ejc_impl.h"

/* Whether the same refusal of the server was audited in EJC_REFUSAL_DEDUP_US. */
static bool is_duplicate(struct ejc_service *service, const char *name,
			 enum aud_rule rule, int64_t now_us)
{
	struct ejc_server *server = ejc_server_get(service, name);

	if (server->last_refusal == rule &&
	    now_us - server->last_refusal_us < EJC_REFUSAL_DEDUP_US)
		return true;
	server->last_refusal = rule;
	server->last_refusal_us = now_us;
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
	return decision->reinstate ? AUD_R_RETURN : AUD_R_EJECT;
}

static void add_inputs(const struct ejc_service *service,
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
	aud_add(rec, "judged", decision->trigger_rule);
	aud_add(rec, "witnesses", server ? server->path.witnesses : 0);
	aud_add(rec, "told", server ? server->path.answered : 0);
	aud_add(rec, "reached", server ? server->path.reached : 0);
}

void ejc_record_decision(struct ejc_service *service,
			 const struct flr_decision *decision, int64_t now_us)
{
	enum aud_rule rule = rule_of(decision);
	struct aud_record rec;

	/* Another node wrote first, or the configuration changed: this node made
	 * no decision. A failed reinstatement is not a refused ejection. */
	if (decision->err == FS_E_CONFLICT || decision->err == FS_E_NOT_FOUND ||
	    (decision->err && decision->reinstate))
		return;
	if (decision->err &&
	    is_duplicate(service, decision->server, rule, now_us))
		return;
	if (!decision->err)
		ejc_server_get(service, decision->server)->last_refusal =
			AUD_RULE_COUNT;
	begin_record(service, decision->server, rule,
		     rule == AUD_R_EJECT  ? "ejected" :
		     rule == AUD_R_RETURN ? "returned" :
					    "kept",
		     now_us, &rec);
	add_inputs(service, decision, &rec);
	aud_emit(service->ejc->node->aud, &rec);
}

void ejc_record_path(struct ejc_service *service, const char *server,
		     const struct ejc_path *path, int64_t now_us)
{
	struct aud_record rec;

	if (is_duplicate(service, server, AUD_R_EJECT_PATH, now_us))
		return;
	begin_record(service, server, AUD_R_EJECT_PATH, "kept", now_us, &rec);
	aud_add(&rec, "witnesses", path->witnesses);
	aud_add(&rec, "told", path->answered);
	aud_add(&rec, "reached", path->reached);
	aud_emit(service->ejc->node->aud, &rec);
}
