#include "hlt.h"

struct hlt_shard {
	uint32_t count;
	uint32_t slots;
	uint32_t token;
};

struct hlt_shard *hlt_shard_new(const struct cfg *cfg, handle service,
				const handle *servers, uint32_t count,
				int64_t now_us)
{
	struct hlt_shard *shard = g_new0(struct hlt_shard, 1);

	(void)servers;
	(void)now_us;
	shard->count = count;
	shard->slots = cfg->services[service].slots;
	return shard;
}

void hlt_shard_free(struct hlt_shard *shard)
{
	g_free(shard);
}

void hlt_shard_adopt(struct hlt_shard *shard, const struct cfg *cfg,
		     const struct hlt_shard *old, const struct cfg *old_cfg)
{
	(void)shard;
	(void)cfg;
	(void)old;
	(void)old_cfg;
}

uint32_t hlt_started(struct hlt_shard *shard, uint32_t i, int64_t deadline_us,
		     int64_t now_us)
{
	(void)i;
	(void)deadline_us;
	(void)now_us;
	return ++shard->token;
}

void hlt_finished(struct hlt_shard *shard, uint32_t i, uint32_t token,
		  const struct hlt_end *end, int64_t now_us)
{
	(void)shard;
	(void)i;
	(void)token;
	(void)end;
	(void)now_us;
}

void hlt_probed(struct hlt_shard *shard, uint32_t i, bool reachable,
		int64_t now_us)
{
	(void)shard;
	(void)i;
	(void)reachable;
	(void)now_us;
}

void hlt_set_ejected(struct hlt_shard *shard, uint32_t i, bool ejected,
		     int64_t now_us)
{
	(void)shard;
	(void)i;
	(void)ejected;
	(void)now_us;
}

void hlt_set_record(struct hlt_shard *shard, const struct cfg *cfg,
		    const struct flr_record *record, int64_t confirmed_us,
		    int64_t now_us)
{
	(void)shard;
	(void)cfg;
	(void)record;
	(void)confirmed_us;
	(void)now_us;
}

void hlt_set_path(struct hlt_shard *shard, uint32_t i, bool others_reach,
		  int64_t now_us)
{
	(void)shard;
	(void)i;
	(void)others_reach;
	(void)now_us;
}

void hlt_set_dependency_sick(struct hlt_shard *shard, bool sick)
{
	(void)shard;
	(void)sick;
}

enum hlt_level hlt_level(const struct hlt_shard *shard, uint32_t i)
{
	(void)shard;
	(void)i;
	return HLT_FIT;
}

uint32_t hlt_allowed(const struct hlt_shard *shard, uint32_t i, bool repeatable,
		     int64_t now_us)
{
	(void)i;
	(void)repeatable;
	(void)now_us;
	return shard->slots;
}

void hlt_tick(struct hlt_shard *shard, struct aud *aud, int64_t now_us,
	      enum hlt_action *actions, enum aud_rule *rules)
{
	(void)aud;
	(void)now_us;
	for (uint32_t i = 0; i < shard->count; i++) {
		actions[i] = HLT_ACT_NONE;
		rules[i] = AUD_RULE_COUNT;
	}
}

bool hlt_shard_sick(const struct hlt_shard *shard)
{
	(void)shard;
	return false;
}
