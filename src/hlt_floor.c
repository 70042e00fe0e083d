#include "hlt_rules.h"
#include "hlt_state.h"

int64_t hlt_shard_headroom(const struct hlt_shard *shard)
{
	return hlt_steering_headroom(shard->first, shard->count,
				     shard->region_count, shard->region_out,
				     shard->region_floor);
}

static bool is_steered(const struct hlt_server *server)
{
	return !server->ejected && server->judged != HLT_HEALTHY;
}

/* Whether @p a is worse off than @p b: it is kept away from work first. */
static bool is_worse(const struct hlt_server *a, const struct hlt_server *b)
{
	bool a_hard = hlt_rule_is_hard(a->rule);
	bool b_hard = hlt_rule_is_hard(b->rule);

	if (a->given_back != b->given_back)
		return b->given_back;
	if (a_hard != b_hard)
		return a_hard;
	if (a->judged != b->judged)
		return a->judged > b->judged;
	return a->sick_us < b->sick_us;
}

static int64_t rank_of(const struct hlt_shard *shard, uint32_t i)
{
	int64_t rank = 0;

	for (uint32_t j = 0; j < shard->count; j++) {
		const struct hlt_server *other = &shard->servers[j];

		if (j == i || !is_steered(other))
			continue;
		if (is_worse(other, &shard->servers[i]) ||
		    (j < i && !is_worse(&shard->servers[i], other)))
			rank++;
	}
	return rank;
}

static void record_given_back(const struct hlt_shard *shard, uint32_t i,
			      int64_t steered, struct aud *aud, int64_t now_us)
{
	struct aud_record rec;

	if (!aud)
		return;
	hlt_record_begin(shard, i, AUD_R_STEER_FLOOR, "given_back", now_us,
			 &rec);
	aud_add(&rec, "steered", steered);
	aud_add(&rec, "first", shard->first);
	aud_add(&rec, "servers", shard->count);
	aud_add(&rec, "count", shard->region_count);
	aud_add(&rec, "out", shard->region_out);
	aud_add(&rec, "floor", shard->region_floor);
	aud_emit(aud, &rec);
}

void hlt_limit_steering(struct hlt_shard *shard, struct aud *aud,
			int64_t now_us)
{
	int64_t room = hlt_shard_headroom(shard);
	int64_t ranks[FS_SHARD_SERVERS_MAX];
	int64_t steered = 0;

	for (uint32_t i = 0; i < shard->count; i++) {
		ranks[i] = rank_of(shard, i);
		steered += is_steered(&shard->servers[i]);
	}
	for (uint32_t i = 0; i < shard->count; i++) {
		struct hlt_server *server = &shard->servers[i];
		bool back = is_steered(server) && ranks[i] >= room;

		if (back && !server->given_back)
			record_given_back(shard, i, steered, aud, now_us);
		server->given_back = back;
	}
}

bool hlt_retained_for_floor(const struct hlt_shard *shard, uint32_t i)
{
	return is_steered(&shard->servers[i]) && shard->servers[i].given_back;
}
