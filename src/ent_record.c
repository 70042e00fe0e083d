#include "ent.h"

static void start_record(const struct ent_request *req, struct aud_record *rec,
			 enum aud_kind kind, enum aud_rule rule, int64_t now_us)
{
	const struct cfg *cfg = req->cfg ? req->cfg : req->ent->cfg;

	aud_begin(rec, kind, rule, cfg ? cfg->version : 0, now_us);
	aud_request_text(&req->id, rec->request, sizeof(rec->request));
	if (!cfg || req->service == FS_NONE)
		return;
	g_strlcpy(rec->service, cfg->services[req->service].name, FS_NAME_MAX);
	g_strlcpy(rec->route, cfg->routes[req->route].name, FS_NAME_MAX);
}

void ent_record_refusal(const struct ent_request *req, enum aud_rule rule,
			int err, const char *name1, int64_t value1,
			const char *name2, int64_t value2, int64_t now_us)
{
	struct aud_record rec;

	start_record(req, &rec, AUD_REFUSAL, rule, now_us);
	g_strlcpy(rec.choice, fs_err_name(err), sizeof(rec.choice));
	aud_add(&rec, "err", err);
	if (name1)
		aud_add(&rec, name1, value1);
	if (name1 && name2)
		aud_add(&rec, name2, value2);
	aud_emit(req->ent->node->aud, &rec);
}

void ent_record_retry(const struct ent_request *req, bool allowed,
		      const struct rty_input *input, int64_t now_us)
{
	struct aud_record rec;

	start_record(req, &rec, AUD_RETRY,
		     allowed ? AUD_R_RETRY : AUD_R_NO_RETRY, now_us);
	rty_add_input(&rec, input, allowed);
	aud_emit(req->ent->node->aud, &rec);
}
