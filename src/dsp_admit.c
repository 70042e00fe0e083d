#include "dsp_impl.h"

#include <string.h>

struct dsp_route *dsp_route_of(const struct dsp_run *run)
{
	const char *name = run->m->request.route;
	struct dsp_route *route = g_hash_table_lookup(run->dsp->routes, name);

	if (!route) {
		route = g_new0(struct dsp_route, 1);
		g_hash_table_insert(run->dsp->routes, g_strdup(name), route);
	}
	return route;
}

struct rty_budget *dsp_budget_of(struct dsp *dsp, const char *service,
				 int64_t now_us)
{
	struct rty_budget *budget = g_hash_table_lookup(dsp->budgets, service);

	if (!budget) {
		budget = g_new0(struct rty_budget, 1);
		rty_budget_init(budget, now_us);
		g_hash_table_insert(dsp->budgets, g_strdup(service), budget);
	}
	return budget;
}

void dsp_admit_inputs(const struct dsp_run *run, int64_t now_us,
		      struct slt_inputs *n)
{
	const struct dsp_shard *shard = run->shard;
	struct slt_server slots[FS_SHARD_SERVERS_MAX];

	memset(n, 0, sizeof(*n));
	n->remaining_us = run->deadline_us - now_us;
	n->service_time_us = slt_service_time(&dsp_route_of(run)->total_times,
					      run->route_deadline_us);
	if (!shard)
		return;
	dsp_shard_slots(shard, run->repeatable, now_us, slots);
	for (uint32_t i = 0; i < shard->count; i++) {
		if (slots[i].leaving)
			continue;
		n->usable += slots[i].allowed;
		if (slt_has_capacity(&slots[i]))
			n->free_slots += slots[i].allowed - slots[i].in_flight;
	}
	n->waiting = shard->que.count;
	n->queue = dsp_shard_service(shard)->queue;
	n->ahead = que_count_ahead(&shard->que, run->priority);
	n->slot_time_us = slt_times_mean(&shard->slot_times);
}

static void reject(struct dsp *dsp, const struct msg *m, int err,
		   int64_t now_us)
{
	const struct msg_request *request = &m->request;
	struct msg_refusal refusal = {
		.err = err,
		.outcome = FS_NOT_RUN,
	};

	dsp_audit_reject(dsp, request, err, now_us);
	dsp_count(dsp, fs_err_name(err), NULL);
	dsp_seen_add(dsp->seen, &request->id,
		     err == FS_E_NOT_OWNER ? DSP_SEEN_NOT_OWNER :
					     DSP_SEEN_ENDED,
		     FS_NOT_RUN, now_us);
	dsp_reply_refusal(dsp, m->from, &request->id, &refusal);
}

/* Another owner is preferred if it is alive and directly reachable from this
 * node. The entry sets `forced` if it could not reach that owner. */
static bool has_other_owner(const struct dsp *dsp,
			    const struct dsp_shard *shard,
			    const struct msg_request *request)
{
	const struct mem_member *owner;
	node_id id;

	if (request->forced || !dsp->view)
		return false;
	id = shd_owner(shard->shard, dsp->view, 0);
	if (!id || id == dsp->node->self)
		return false;
	owner = mem_view_find(dsp->view, id);
	return owner && owner->state == MEM_ALIVE && owner->direct;
}

static int check_request(struct dsp *dsp, const struct msg *m,
			 struct dsp_shard **shard, handle *route,
			 int64_t now_us)
{
	const struct msg_request *request = &m->request;
	const struct cfg_service *service;

	if (dsp_leave_has_ended(dsp))
		return FS_E_NOT_OWNER;
	if (!dsp->cfg)
		return FS_E_NOT_READY;
	if (!request->service || !request->region || !request->route ||
	    !tgt_request_valid(request))
		return FS_E_BAD_REQUEST;
	*shard = dsp_shard_get(dsp, request->service, request->region,
			       request->shard, now_us);
	*route = cfg_find_route(dsp->cfg, request->route);
	if (!*shard || *route == FS_NONE ||
	    dsp->cfg->routes[*route].service != (*shard)->shard->service ||
	    has_other_owner(dsp, *shard, request))
		return FS_E_NOT_OWNER;
	service = dsp_shard_service(*shard);
	if (service->leaving)
		return FS_E_SERVICE_LEAVING;
	if (request->key && strlen(request->key) >= FS_KEY_MAX)
		return FS_E_BAD_REQUEST;
	return 0;
}

static struct dsp_run *run_new(struct dsp *dsp, struct msg *m,
			       struct dsp_shard *shard, handle h,
			       int64_t now_us)
{
	const struct cfg_route *route = &dsp->cfg->routes[h];
	struct dsp_run *run = g_new0(struct dsp_run, 1);

	run->id = m->request.id;
	run->dsp = dsp;
	run->shard = shard;
	run->from = m->from;
	run->m = msg_new(MSG_REQUEST, m->to, m->task);
	run->m->request = m->request;
	memset(&m->request, 0, sizeof(m->request));
	run->priority = route->priority;
	run->repeatable = route->repeatable;
	run->tries_max =
		route->repeatable ? MIN(route->tries, DSP_ATTEMPTS_MAX) : 1;
	run->accepted_us = now_us;
	run->route_deadline_us = route->deadline_us;
	run->deadline_us =
		now_us + MIN(run->m->request.remaining_us, route->deadline_us);
	g_hash_table_add(dsp->runs, run);
	return run;
}

static int acquire_key(struct dsp_run *run, int64_t now_us)
{
	const struct msg_request *request = &run->m->request;
	int err;

	if (run->repeatable || !request->key)
		return 0;
	err = key_begin(run->dsp->keys, request->service, request->key,
			request->shard, now_us);
	run->holds_key = !err;
	if (run->holds_key)
		dsp_handover_key(run, true, now_us);
	return err == FS_E_NO_MEMORY ? FS_E_ENTRY_FULL : err;
}

/* Evicts a request of lower priority from a full queue. */
static int shed(struct dsp_run *run, int64_t now_us)
{
	struct que_item *item =
		que_find_evictable(&run->shard->que, run->priority);
	struct dsp_run *victim;
	struct slt_inputs n;

	if (!item)
		return FS_E_QUEUE_FULL;
	victim = (struct dsp_run *)((char *)item -
				    offsetof(struct dsp_run, item));
	dsp_admit_inputs(victim, now_us, &n);
	dsp_audit_refusal(victim, FS_E_SHED, &n, now_us);
	dsp_run_refuse(victim, FS_E_SHED, dsp_run_outcome(victim),
		       slt_retry_after(&n), now_us);
	return 0;
}

static int admit(struct dsp_run *run, int64_t now_us)
{
	struct slt_inputs n;
	int key_err;
	int err;

	dsp_admit_inputs(run, now_us, &n);
	err = slt_admit(&n);
	if (err && err != FS_E_QUEUE_FULL)
		return err;
	if (err && !que_find_evictable(&run->shard->que, run->priority))
		return err;
	key_err = acquire_key(run, now_us);
	if (key_err)
		return key_err;
	return err ? shed(run, now_us) : 0;
}

void dsp_admit(struct dsp *dsp, struct msg *m, int64_t now_us)
{
	const struct req_id *id = &m->request.id;
	enum dsp_seen_state state = dsp_seen_find(dsp->seen, id, NULL);
	struct dsp_shard *shard = NULL;
	struct dsp_run *run;
	struct slt_inputs n;
	handle route = FS_NONE;
	int err;

	if (g_hash_table_contains(dsp->runs, id) || state == DSP_SEEN_ENDED ||
	    (state == DSP_SEEN_NOT_OWNER && !m->request.forced)) {
		dsp_count(dsp, "duplicates", NULL);
		return;
	}
	err = state == DSP_SEEN_CANCELLED ?
		      FS_E_CANCELLED :
		      check_request(dsp, m, &shard, &route, now_us);
	if (err) {
		reject(dsp, m, err, now_us);
		return;
	}
	run = run_new(dsp, m, shard, route, now_us);
	rty_budget_earn(dsp_budget_of(dsp, run->m->request.service, now_us),
			dsp_shard_service(shard)->retry_percent, now_us);
	dsp_count(dsp, "requests", run->m->request.service);
	err = admit(run, now_us);
	if (err) {
		dsp_admit_inputs(run, now_us, &n);
		dsp_audit_refusal(run, err, &n, now_us);
		dsp_run_refuse(run, err, FS_NOT_RUN, slt_retry_after(&n),
			       now_us);
		return;
	}
	que_push(&shard->que, &run->item, run->priority);
	dsp_run_start_queued(shard, now_us);
}
