#include "hlt_state.h"

#define DEADLINE_PERCENT \
	60 /* share of its deadline after which a request is overdue */
#define WEAK_PER_FAILURE \
	4 /* failures on reused connections that count as one */

static struct hlt_inflight *request_at(const struct hlt_server *server, guint i)
{
	return &g_array_index(server->inflight, struct hlt_inflight, i);
}

uint32_t hlt_request_started(struct hlt_shard *shard, uint32_t i,
			     int64_t deadline_us, int64_t now_us)
{
	struct hlt_server *server = &shard->servers[i];
	struct hlt_inflight request = {
		.token = ++shard->token,
		.band = hlt_lat_band_of(deadline_us),
		.started_us = now_us,
		.deadline_us = deadline_us,
	};

	g_array_append_val(server->inflight, request);
	server->trial_next_us =
		now_us + (server->ejected ? shard->params->ejected_spacing_us :
					    shard->params->trial_spacing_us);
	return request.token;
}

/* Shortest running time after which a time-out is evidence against the server:
 * a request that ended earlier, because little of its deadline was left, is
 * none. */
static int64_t min_timeout_us(const struct hlt_shard *shard,
			      const struct hlt_inflight *request)
{
	int64_t p95_us = shard->lat.bands[request->band].p95_us;

	return p95_us < 0 ? shard->params->overdue_min_us : 2 * p95_us;
}

bool hlt_is_overdue(const struct hlt_shard *shard,
		    const struct hlt_inflight *request, int64_t now_us)
{
	const struct hlt_params *p = shard->params;
	int64_t p95_us = shard->lat.bands[request->band].p95_us;
	int64_t cap_us = request->deadline_us * DEADLINE_PERCENT / 100;
	int64_t limit_us = p95_us < 0 ? cap_us : p95_us * p->overdue_factor;

	limit_us = MIN(MAX(limit_us, p->overdue_min_us), cap_us);
	limit_us = MAX(limit_us, min_timeout_us(shard, request));
	return now_us - request->started_us >= limit_us;
}

static void count_failure(struct hlt_server *server, int64_t now_us)
{
	hlt_window_current(&server->window, now_us)->failures++;
	server->last_bad_us = now_us;
	server->good_run = 0;
	server->sick_bad++;
}

/* A failure on a reused connection may be due to the connection alone. */
static void count_weak_failure(struct hlt_server *server, int64_t now_us)
{
	struct hlt_counts *counts = hlt_window_current(&server->window, now_us);

	if (++counts->weak_failures % WEAK_PER_FAILURE == 0)
		count_failure(server, now_us);
}

/* Reverts the failure counted for an overdue request whose connection turned
 * out to be a reused one. */
static void uncount_overdue(struct hlt_server *server, int64_t now_us)
{
	struct hlt_counts *counts = hlt_window_current(&server->window, now_us);

	if (counts->failures)
		counts->failures--;
	if (server->sick_bad)
		server->sick_bad--;
}

static void count_success(struct hlt_shard *shard, struct hlt_server *server,
			  const struct hlt_inflight *request, int64_t took_us,
			  int64_t now_us)
{
	const struct hlt_params *p = shard->params;
	const struct hlt_lat_band *band = &shard->lat.bands[request->band];
	struct hlt_counts *counts = hlt_window_current(&server->window, now_us);
	bool slow = band->p50_us >= 0 && took_us >= p->slow_min_us &&
		    took_us >= band->p50_us * p->slow_factor;

	hlt_lat_record(&shard->lat, request->band, took_us);
	server->connect_failures = 0;
	if (request->counted_overdue)
		return;
	counts->successes++;
	counts->slow += slow;
	server->last_good_us = now_us;
	if (!slow || server->rule != AUD_R_STEER_SLOW) {
		server->good_run++;
		return;
	}
	server->good_run = 0;
	server->last_bad_us = now_us;
	server->sick_bad++;
}

static void count_connection_failure(const struct hlt_shard *shard,
				     struct hlt_server *server,
				     const struct hlt_inflight *request,
				     const struct hlt_end *end, int64_t now_us)
{
	if (end->result == HLT_TIMED_OUT &&
	    now_us - request->started_us < min_timeout_us(shard, request))
		return;
	if (end->reused_connection) {
		if (request->counted_overdue)
			uncount_overdue(server, now_us);
		count_weak_failure(server, now_us);
	} else if (!request->counted_overdue) {
		count_failure(server, now_us);
	}
}

static void count_outcome(struct hlt_shard *shard, struct hlt_server *server,
			  const struct hlt_inflight *request,
			  const struct hlt_end *end, int64_t now_us)
{
	switch (end->result) {
	case HLT_SUCCESS:
		count_success(shard, server, request, end->took_us, now_us);
		break;
	case HLT_SERVER_ERROR:
	case HLT_INVALID_ANSWER:
		server->connect_failures = 0;
		if (!request->counted_overdue)
			count_failure(server, now_us);
		break;
	case HLT_REFUSED:
		server->connect_failures = 0;
		break;
	case HLT_CONNECT_FAILED:
		server->connect_failures++;
		count_failure(server, now_us);
		break;
	case HLT_TIMED_OUT:
	case HLT_RESET:
		count_connection_failure(shard, server, request, end, now_us);
		break;
	case HLT_CANCELLED:
		break;
	}
}

void hlt_request_finished(struct hlt_shard *shard, uint32_t i, uint32_t token,
			  const struct hlt_end *end, int64_t now_us)
{
	struct hlt_server *server = &shard->servers[i];

	for (guint f = 0; f < server->inflight->len; f++) {
		struct hlt_inflight request = *request_at(server, f);

		if (request.token != token)
			continue;
		g_array_remove_index_fast(server->inflight, f);
		count_outcome(shard, server, &request, end, now_us);
		return;
	}
}

void hlt_probe_finished(struct hlt_shard *shard, uint32_t i, bool reachable,
			int64_t now_us)
{
	(void)now_us;
	shard->servers[i].reachable = reachable;
}

void hlt_count_overdue(struct hlt_shard *shard, int64_t now_us)
{
	for (uint32_t i = 0; i < shard->count; i++) {
		struct hlt_server *server = &shard->servers[i];

		for (guint f = 0; f < server->inflight->len; f++) {
			struct hlt_inflight *request = request_at(server, f);

			if (request->counted_overdue ||
			    !hlt_is_overdue(shard, request, now_us))
				continue;
			request->counted_overdue = true;
			count_failure(server, now_us);
		}
	}
}

void hlt_collect_evidence(struct hlt_shard *shard, uint32_t i, int64_t now_us,
			  struct hlt_evidence *out)
{
	struct hlt_server *server = &shard->servers[i];

	*out = (struct hlt_evidence){
		.in_flight = server->inflight->len,
		.quiet_us = now_us - server->last_good_us,
		.own = hlt_window_sum(&server->window, now_us),
	};
	for (guint f = 0; f < server->inflight->len; f++)
		out->overdue += request_at(server, f)->counted_overdue;
	for (uint32_t j = 0; j < shard->count; j++) {
		struct hlt_counts sum;

		if (j == i)
			continue;
		sum = hlt_window_sum(&shard->servers[j].window, now_us);
		out->peers.successes += sum.successes;
		out->peers.slow += sum.slow;
		out->peers.failures += sum.failures;
	}
}
