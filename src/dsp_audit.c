#include "dsp_impl.h"

/* Which rule stands behind a refusal. */
static enum aud_rule rule_of(int err, bool written)
{
	switch (err) {
	case FS_E_NOT_READY:
		return AUD_R_NOT_READY;
	case FS_E_NOT_OWNER:
		return AUD_R_NOT_OWNER;
	case FS_E_SERVICE_LEAVING:
		return AUD_R_SERVICE_LEAVING;
	case FS_E_QUEUE_FULL:
		return AUD_R_QUEUE_FULL;
	case FS_E_WAIT_TOO_LONG:
		return AUD_R_WAIT_TOO_LONG;
	case FS_E_DEADLINE_QUEUED:
		return AUD_R_DEADLINE_QUEUED;
	case FS_E_NO_TARGET:
		return AUD_R_NO_TARGET;
	case FS_E_SHED:
		return AUD_R_SHED;
	case FS_E_KEY_IN_FLIGHT:
	case FS_E_KEY_SPENT:
		return AUD_R_KEY;
	case FS_E_TARGET_REFUSED:
		return AUD_R_TARGET_REFUSED;
	case FS_E_CANCELLED:
		return AUD_R_CANCEL_CONFIRMED;
	case FS_E_CONNECT:
		return written ? AUD_R_OUTCOME_UNKNOWN : AUD_R_CONNECT;
	case FS_E_BAD_REQUEST:
	case FS_E_ENTRY_FULL:
		return AUD_R_REQUEST;
	default:
		return AUD_R_OUTCOME_UNKNOWN;
	}
}

static void add_numbers(struct aud_record *rec, const struct dsp_run *run,
			const struct slt_inputs *n)
{
	switch (rec->rule) {
	case AUD_R_QUEUE_FULL:
	case AUD_R_SHED:
		aud_add(rec, "waiting", n->waiting);
		aud_add(rec, "queue", n->queue);
		break;
	case AUD_R_WAIT_TOO_LONG:
		aud_add(rec, "expected_wait_us", slt_expected_wait(n));
		aud_add(rec, "remaining_us", n->remaining_us);
		break;
	case AUD_R_DEADLINE_QUEUED:
		aud_add(rec, "remaining_us", n->remaining_us);
		break;
	case AUD_R_NO_TARGET:
		aud_add(rec, "usable", n->usable);
		break;
	case AUD_R_CONNECT:
	case AUD_R_OUTCOME_UNKNOWN:
		aud_add(rec, "written", dsp_run_outcome(run) == FS_UNKNOWN);
		break;
	default:
		break;
	}
}

/* Records name only what the text of their version has: the entry, or an
 * earlier try, may have gone by another one. */
static void fill(struct aud_record *rec, const struct cfg *cfg,
		 const struct msg_request *request)
{
	const char *service = request->service;
	const char *route = request->route;

	if (cfg && service && cfg_find_service(cfg, service) != FS_NONE)
		g_strlcpy(rec->service, service, sizeof(rec->service));
	if (cfg && route && cfg_find_route(cfg, route) != FS_NONE)
		g_strlcpy(rec->route, route, sizeof(rec->route));
	aud_request_text(&request->id, rec->request, sizeof(rec->request));
}

static void fill_server(struct aud_record *rec, const struct cfg *cfg,
			const char *server)
{
	if (cfg && cfg_find_server(cfg, server) != FS_NONE)
		g_strlcpy(rec->server, server, sizeof(rec->server));
}

static void fill_run(struct aud_record *rec, const struct dsp_run *run)
{
	const struct dsp_server *server = dsp_run_server(run);

	fill(rec, run->dsp->cfg, &run->m->request);
	if (server)
		fill_server(rec, run->dsp->cfg, server->name);
}

static uint64_t version_of(const struct dsp *dsp)
{
	return dsp->cfg ? dsp->cfg->version : 0;
}

void dsp_audit_refusal(const struct dsp_run *run, int err,
		       const struct slt_inputs *n, int64_t now_us)
{
	struct slt_inputs none = {
		.remaining_us = run->deadline_us - now_us,
	};
	struct aud_record rec;

	aud_begin(&rec, AUD_REFUSAL, rule_of(err, run->written),
		  version_of(run->dsp), now_us);
	fill_run(&rec, run);
	g_strlcpy(rec.choice, fs_err_name(err), sizeof(rec.choice));
	aud_add(&rec, "err", err);
	add_numbers(&rec, run, n ? n : &none);
	aud_emit(run->dsp->node->aud, &rec);
}

void dsp_audit_reject(struct dsp *dsp, const struct msg_request *request,
		      int err, int64_t now_us)
{
	struct aud_record rec;

	aud_begin(&rec, AUD_REFUSAL, rule_of(err, false), version_of(dsp),
		  now_us);
	fill(&rec, dsp->cfg, request);
	g_strlcpy(rec.choice, fs_err_name(err), sizeof(rec.choice));
	aud_add(&rec, "err", err);
	aud_emit(dsp->node->aud, &rec);
}

void dsp_audit_retry(const struct dsp_run *run, const struct rty_input *n,
		     bool allowed, int64_t now_us)
{
	struct aud_record rec;

	aud_begin(&rec, AUD_RETRY, allowed ? AUD_R_RETRY : AUD_R_NO_RETRY,
		  version_of(run->dsp), now_us);
	fill_run(&rec, run);
	rty_add_input(&rec, n, allowed);
	aud_emit(run->dsp->node->aud, &rec);
}

void dsp_audit_drain(struct dsp *dsp, const char *service, const char *server,
		     const char *choice, int64_t now_us)
{
	struct aud_record rec;

	aud_begin(&rec, AUD_DRAIN, AUD_R_DRAIN_TARGET, version_of(dsp), now_us);
	g_strlcpy(rec.service, service ? service : "", sizeof(rec.service));
	fill_server(&rec, dsp->cfg, server);
	g_strlcpy(rec.choice, choice, sizeof(rec.choice));
	aud_emit(dsp->node->aud, &rec);
}
