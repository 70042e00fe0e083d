/* Records which shards of its region this node dispatches. A check of all
 * shards costs a hash per shard and member, so it is made at most once in
 * OWNER_CHECK_INTERVAL_US. */
#include <stdio.h>

#include "dsp_impl.h"

#define OWNER_CHECK_INTERVAL_US 5000000LL

static void record_change(struct dsp *dsp, const struct shd_shard *shard,
			  bool taken, int64_t now_us)
{
	struct aud_record rec;

	aud_begin(&rec, AUD_SHARD,
		  taken ? AUD_R_SHARD_TAKEN : AUD_R_SHARD_GIVEN,
		  dsp->cfg->version, now_us);
	g_strlcpy(rec.service, dsp->cfg->services[shard->service].name,
		  sizeof(rec.service));
	snprintf(rec.choice, sizeof(rec.choice), "shard %u", shard->index);
	aud_emit(dsp->node->aud, &rec);
}

static void check_owner(struct dsp *dsp, const struct shd_shard *shard,
			int64_t now_us)
{
	g_autofree char *name = g_strdup_printf(
		"%s/%u", dsp->cfg->services[shard->service].name, shard->index);
	bool own = shd_owner(shard, dsp->view, 0) == dsp->node->self;

	if (own == g_hash_table_contains(dsp->owned, name))
		return;
	if (own)
		g_hash_table_add(dsp->owned, g_steal_pointer(&name));
	else
		g_hash_table_remove(dsp->owned, name);
	record_change(dsp, shard, own, now_us);
}

void dsp_owner_tick(struct dsp *dsp, int64_t now_us)
{
	if (!dsp->owners_changed || !dsp->cfg || !dsp->view ||
	    now_us - dsp->owners_us < OWNER_CHECK_INTERVAL_US)
		return;
	dsp->owners_changed = false;
	dsp->owners_us = now_us;
	for (uint32_t i = 0; i < dsp->map->count; i++) {
		if (g_str_equal(dsp->map->shards[i].region,
				dsp->node->set.region))
			check_owner(dsp, &dsp->map->shards[i], now_us);
	}
}
