#include "hlt_state.h"

#define DEADLINE_PERCENT 60 /* of its deadline, and a request is overdue */
#define WEAK_PER_BAD 4	    /* failures on reused connections for one bad */

static struct hlt_inflight *flight_at(const struct hlt_server *server, guint i)
{
	return &g_array_index(server->flights, struct hlt_inflight, i);
}

uint32_t hlt_request_started(struct hlt_shard *shard, uint32_t i,
			     int64_t deadline_us, int64_t now_us)
{
	struct hlt_server *server = &shard->servers[i];
	struct hlt_inflight flight = {
		.token = ++shard->token,
		.band = hlt_lat_band_of(deadline_us),
		.started_us = now_us,
		.deadline_us = deadline_us,
	};

	g_array_append_val(server->flights, flight);
	server->trial_next_us =
		now_us + (server->ejected ? shard->params->ejected_spacing_us :
					    shard->params->trial_spacing_us);
	return flight.token;
}

/* The time that any server may take; a request that ended earlier, since
 * little of its deadline was left, says nothing about its server. */
static int64_t fair_us(const struct hlt_shard *shard,
		       const struct hlt_inflight *flight)
{
	int64_t p95_us = shard->lat.bands[flight->band].p95_us;

	return p95_us < 0 ? shard->params->overdue_min_us : 2 * p95_us;
}

bool hlt_is_overdue(const struct hlt_shard *shard,
		    const struct hlt_inflight *flight, int64_t now_us)
{
	const struct hlt_params *p = shard->params;
	int64_t p95_us = shard->lat.bands[flight->band].p95_us;
	int64_t cap_us = flight->deadline_us * DEADLINE_PERCENT / 100;
	int64_t limit_us = p95_us < 0 ? cap_us : p95_us * p->overdue_factor;

	limit_us = MIN(MAX(limit_us, p->overdue_min_us), cap_us);
	limit_us = MAX(limit_us, fair_us(shard, flight));
	return now_us - flight->started_us >= limit_us;
}

static void note_bad(struct hlt_server *server, int64_t now_us)
{
	hlt_window_current(&server->window, now_us)->bad++;
	server->last_bad_us = now_us;
	server->good_run = 0;
	server->sick_bad++;
}

/* The failure of a reused connection may be the connection's alone. */
static void note_weak(struct hlt_server *server, int64_t now_us)
{
	struct hlt_counts *counts = hlt_window_current(&server->window, now_us);

	if (++counts->weak % WEAK_PER_BAD == 0)
		note_bad(server, now_us);
}

/* An overdue request was counted against the server before its connection
 * turned out to be a reused one. */
static void take_back_overdue(struct hlt_server *server, int64_t now_us)
{
	struct hlt_counts *counts = hlt_window_current(&server->window, now_us);

	if (counts->bad)
		counts->bad--;
	if (server->sick_bad)
		server->sick_bad--;
}

static void note_good(struct hlt_shard *shard, struct hlt_server *server,
		      const struct hlt_inflight *flight, int64_t took_us,
		      int64_t now_us)
{
	const struct hlt_params *p = shard->params;
	const struct hlt_lat_band *band = &shard->lat.bands[flight->band];
	struct hlt_counts *counts = hlt_window_current(&server->window, now_us);
	bool slow = band->p50_us >= 0 && took_us >= p->slow_min_us &&
		    took_us >= band->p50_us * p->slow_factor;

	hlt_lat_record(&shard->lat, flight->band, took_us);
	server->connect_failures = 0;
	if (flight->counted_overdue)
		return;
	counts->good++;
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

static void note_failure(const struct hlt_shard *shard,
			 struct hlt_server *server,
			 const struct hlt_inflight *flight,
			 const struct hlt_end *end, int64_t now_us)
{
	if (end->result == HLT_TIMED_OUT &&
	    now_us - flight->started_us < fair_us(shard, flight))
		return;
	if (end->reused_connection) {
		if (flight->counted_overdue)
			take_back_overdue(server, now_us);
		note_weak(server, now_us);
	} else if (!flight->counted_overdue) {
		note_bad(server, now_us);
	}
}

static void note_end(struct hlt_shard *shard, struct hlt_server *server,
		     const struct hlt_inflight *flight,
		     const struct hlt_end *end, int64_t now_us)
{
	switch (end->result) {
	case HLT_SUCCESS:
		note_good(shard, server, flight, end->took_us, now_us);
		break;
	case HLT_SERVER_ERROR:
	case HLT_INVALID_ANSWER:
		server->connect_failures = 0;
		if (!flight->counted_overdue)
			note_bad(server, now_us);
		break;
	case HLT_REFUSED:
		server->connect_failures = 0;
		break;
	case HLT_CONNECT_FAILED:
		server->connect_failures++;
		note_bad(server, now_us);
		break;
	case HLT_TIMED_OUT:
	case HLT_RESET:
		note_failure(shard, server, flight, end, now_us);
		break;
	case HLT_CANCELLED:
		break;
	}
}

void hlt_request_finished(struct hlt_shard *shard, uint32_t i, uint32_t token,
			  const struct hlt_end *end, int64_t now_us)
{
	struct hlt_server *server = &shard->servers[i];

	for (guint f = 0; f < server->flights->len; f++) {
		struct hlt_inflight flight = *flight_at(server, f);

		if (flight.token != token)
			continue;
		g_array_remove_index_fast(server->flights, f);
		note_end(shard, server, &flight, end, now_us);
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

		for (guint f = 0; f < server->flights->len; f++) {
			struct hlt_inflight *flight = flight_at(server, f);

			if (flight->counted_overdue ||
			    !hlt_is_overdue(shard, flight, now_us))
				continue;
			flight->counted_overdue = true;
			note_bad(server, now_us);
		}
	}
}

void hlt_collect_evidence(struct hlt_shard *shard, uint32_t i, int64_t now_us,
			  struct hlt_evidence *out)
{
	struct hlt_server *server = &shard->servers[i];

	*out = (struct hlt_evidence){
		.in_flight = server->flights->len,
		.quiet_us = now_us - server->last_good_us,
		.own = hlt_window_sum(&server->window, now_us),
	};
	for (guint f = 0; f < server->flights->len; f++)
		out->overdue += flight_at(server, f)->counted_overdue;
	for (uint32_t j = 0; j < shard->count; j++) {
		struct hlt_counts sum;

		if (j == i)
			continue;
		sum = hlt_window_sum(&shard->servers[j].window, now_us);
		out->peers.good += sum.good;
		out->peers.slow += sum.slow;
		out->peers.bad += sum.bad;
	}
}
