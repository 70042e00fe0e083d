#include "dsp_impl.h"

static const char *level_name(enum hlt_level level)
{
	static const char *const names[] = {
		[HLT_HEALTHY] = "fit",
		[HLT_SUSPECTED] = "suspect",
		[HLT_TRIAL] = "trial",
		[HLT_EJECTED] = "ejected",
	};

	return names[level];
}

static void write_server(const struct dsp_shard *shard, uint32_t i,
			 GString *out, int64_t now_us)
{
	g_string_append(out, "{\"name\":");
	fs_json_string(out, shard->servers[i]->name);
	g_string_append_printf(
		out,
		",\"in_flight\":%u,\"slots\":%u,\"allowed\":%u,"
		"\"level\":\"%s\",\"leaving\":%s}",
		shard->servers[i]->in_flight, dsp_shard_service(shard)->slots,
		hlt_concurrency_limit(shard->hlt, i, true, now_us),
		level_name(hlt_level(shard->hlt, i)),
		dsp_server_leaving(shard, i) ? "true" : "false");
}

static void write_shard(const struct dsp_shard *shard, GString *out,
			int64_t now_us)
{
	g_string_append(out, "{\"service\":");
	fs_json_string(out, dsp_shard_service(shard)->name);
	g_string_append(out, ",\"region\":");
	fs_json_string(out, shard->shard->region);
	g_string_append_printf(out,
			       ",\"shard\":%u,\"waiting\":%u,\"servers\":[",
			       shard->shard->index, shard->que.count);
	for (uint32_t i = 0; i < shard->count; i++) {
		if (i)
			g_string_append_c(out, ',');
		write_server(shard, i, out, now_us);
	}
	g_string_append(out, "]}");
}

void dsp_status_write(const void *task, GString *out, int64_t now_us)
{
	const struct dsp *dsp = task;
	GHashTableIter iter;
	struct dsp_shard *shard;
	const char *comma = "";

	g_string_append_printf(out, "{\"runs\":%u,\"keys\":%u,\"shards\":[",
			       g_hash_table_size(dsp->runs),
			       key_count(dsp->keys));
	g_hash_table_iter_init(&iter, dsp->shards);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&shard)) {
		g_string_append(out, comma);
		write_shard(shard, out, now_us);
		comma = ",";
	}
	g_string_append(out, "]}");
}
