#include "dsp_impl.h"
#include "flr.h"

static void request_ejection(struct dsp_shard *shard, uint32_t i,
			     enum hlt_action action, enum aud_rule rule)
{
	struct dsp *dsp = shard->dsp;
	struct msg *m =
		msg_new(MSG_EJECT_REQUEST, dsp->node->self, MSG_TASK_EJECT);

	m->eject_request.service = g_strdup(dsp_shard_service(shard)->name);
	m->eject_request.server = g_strdup(shard->servers[i]->name);
	m->eject_request.rule = g_strdup(aud_rule_name(rule));
	m->eject_request.reinstate = action == HLT_ACT_REQUEST_REINSTATEMENT;
	bus_send(dsp->node->bus, m);
}

void dsp_health_tick(struct dsp_shard *shard, int64_t now_us)
{
	enum hlt_action actions[FS_SHARD_SERVERS_MAX] = {HLT_ACT_NONE};
	enum aud_rule rules[FS_SHARD_SERVERS_MAX];

	hlt_tick(shard->hlt, shard->dsp->node->aud, now_us, actions, rules);
	for (uint32_t i = 0; i < shard->count; i++) {
		if (actions[i] != HLT_ACT_NONE)
			request_ejection(shard, i, actions[i], rules[i]);
	}
}

static void apply(struct dsp_shard *shard, const struct msg_record *record,
		  int64_t now_us)
{
	hlt_set_record(shard->hlt, shard->cfg, record->record,
		       record->confirmed_us, now_us);
}

void dsp_health_apply_record(struct dsp_shard *shard, int64_t now_us)
{
	const struct msg *m = g_hash_table_lookup(
		shard->dsp->records, dsp_shard_service(shard)->name);

	if (m)
		apply(shard, &m->record, now_us);
}

/* Stores the record for shard objects that are created later. */
void dsp_health_record(struct dsp *dsp, struct msg *m, int64_t now_us)
{
	struct msg *stored = msg_new(MSG_RECORD, m->to, m->task);
	GHashTableIter iter;
	struct dsp_shard *shard;

	stored->record = m->record;
	m->record.service = NULL;
	m->record.record = NULL;
	g_hash_table_replace(dsp->records, g_strdup(stored->record.service),
			     stored);
	g_hash_table_iter_init(&iter, dsp->shards);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&shard)) {
		if (g_str_equal(dsp_shard_service(shard)->name,
				stored->record.service))
			apply(shard, &stored->record, now_us);
	}
}

void dsp_health_probe(struct dsp *dsp, const struct msg *m, int64_t now_us)
{
	GHashTableIter iter;
	struct dsp_shard *shard;

	g_hash_table_iter_init(&iter, dsp->shards);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&shard)) {
		for (uint32_t i = 0; i < shard->count; i++) {
			if (!g_str_equal(shard->servers[i]->name,
					 m->probe_result.server))
				continue;
			hlt_probe_finished(shard->hlt, i,
					   m->probe_result.reachable, now_us);
			dsp_leave_answer(shard, shard->servers[i],
					 m->probe_result.draining, now_us);
		}
	}
}

/* By the service's record, over half of its servers in the region are ejected. */
static bool is_mostly_ejected(const struct dsp *dsp, handle service)
{
	const struct msg *m = g_hash_table_lookup(
		dsp->records, dsp->cfg->services[service].name);
	uint32_t ejected = 0;

	if (!m || !m->record.record)
		return false;
	for (guint i = 0; i < m->record.record->entries->len; i++)
		ejected += g_array_index(m->record.record->entries,
					 struct flr_entry, i)
				   .state == FLR_OUT;
	return ejected * 2 >
	       cfg_servers_in_region(dsp->cfg, service, dsp->node->set.region);
}

static bool is_unhealthy(const struct dsp *dsp, handle service)
{
	GHashTableIter iter;
	struct dsp_shard *shard;

	g_hash_table_iter_init(&iter, dsp->shards);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&shard)) {
		if (shard->shard->service == service &&
		    hlt_shard_unhealthy(shard->hlt))
			return true;
	}
	return is_mostly_ejected(dsp, service);
}

void dsp_health_dependencies(struct dsp *dsp)
{
	GHashTableIter iter;
	struct dsp_shard *shard;

	g_hash_table_iter_init(&iter, dsp->shards);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&shard)) {
		const struct cfg_service *service = dsp_shard_service(shard);
		bool unhealthy = false;

		for (uint32_t i = 0; i < service->depends_count; i++)
			unhealthy |= is_unhealthy(dsp, service->depends_on[i]);
		hlt_set_dependency_unhealthy(shard->hlt, unhealthy);
	}
}
