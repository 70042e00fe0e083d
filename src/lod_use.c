#include "fs_log.h"
#include "lod_impl.h"

/* Keeps these log lines few in comparison with those of requests. */
#define USE_LOG_INTERVAL_US (2 * FS_US_PER_S)
/* A target is idle if no node sent it a request for this long. */
#define IDLE_AFTER_US (2 * FS_US_PER_S)

/** Use of the targets of one service. */
struct service_use {
	uint32_t targets; /* that are not leaving */
	uint32_t idle;	  /* no known send within IDLE_AFTER_US */
	uint32_t idle_at_work;
	uint32_t idle_suspected;
	uint32_t suspected;
	uint32_t slots;
	uint32_t in_flight; /* requests, as this node knows them */
	double busiest;	    /* most requests per slot at one target */
};

struct survey {
	GHashTable *uses; /* service name to struct use */
	int64_t now_us;
};

static struct service_use *service_use_of(struct survey *survey,
					  const char *service)
{
	struct service_use *use = g_hash_table_lookup(survey->uses, service);

	if (!use) {
		use = g_new0(struct service_use, 1);
		g_hash_table_insert(survey->uses, (void *)service, use);
	}
	return use;
}

static void add_target(void *arg, const struct dir_target *target)
{
	struct survey *survey = arg;
	const struct bal_target *state = target->user_data;
	bool suspected = state && gry_is_suspected(&state->gry, survey->now_us);
	struct service_use *use;

	if (target->entry.leaving || (state && state->tst.leaving))
		return;
	use = service_use_of(survey, target->entry.service);
	use->targets++;
	use->suspected += suspected;
	use->slots += MAX(target->entry.slots, 1);
	if (state) {
		uint32_t in_flight = state->own + state->others;

		use->in_flight += in_flight;
		use->busiest =
			MAX(use->busiest,
			    (double)in_flight / MAX(target->entry.slots, 1));
	}
	if (state && survey->now_us - state->sent_us <= IDLE_AFTER_US)
		return;
	use->idle++;
	use->idle_at_work += state && state->own + state->others > 0;
	use->idle_suspected += suspected;
}

/* Appends what each rank asked for, and the shares in force. */
static void append_ranks(struct lod *lod, const char *service, int64_t now_us,
			 GString *out)
{
	struct rnk *ranks = lod_ranks(lod, service, now_us);

	for (uint32_t i = 0; i < ranks->count; i++) {
		uint32_t rank = ranks->classes[i].rank;
		double room = rnk_room_share(ranks, rank, now_us);
		double retry = lod_retry_share(lod, service, rank, 0, now_us);
		const struct rnk_class *c = &ranks->classes[i];

		g_string_append_printf(
			out,
			"%s{\"rank\":%u,\"asked\":%.0f,\"served\":%.3f,"
			"\"wanted\":%.0f,\"room_share\":%.3f,"
			"\"retry_share\":%.3f}",
			i ? "," : "", rank, c->recent.asked,
			rnk_served_share(c), c->recent.wanted, room, retry);
	}
}

void lod_log_service_use(struct lod *lod, int64_t now_us)
{
	g_autoptr(GHashTable) uses =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	struct survey survey = {uses, now_us};
	GHashTableIter iter;
	void *service;
	void *value;

	if (now_us - lod->use_logged_us < USE_LOG_INTERVAL_US)
		return;
	lod->use_logged_us = now_us;
	dir_each(lod->dir, add_target, &survey);
	g_hash_table_iter_init(&iter, uses);
	while (g_hash_table_iter_next(&iter, &service, &value)) {
		const struct service_use *use = value;
		g_autoptr(GString) ranks = g_string_new("");

		append_ranks(lod, service, now_us, ranks);
		fs_log_eventf(
			"lod", G_LOG_LEVEL_INFO, "service_use",
			"\"service\":\"%s\",\"targets\":%u,"
			"\"idle\":%u,\"idle_at_work\":%u,"
			"\"idle_suspected\":%u,\"suspected\":%u,"
			"\"requests_per_s\":%.1f,\"unserved\":%.3f,"
			"\"busy\":%.2f,\"busiest\":%.2f,"
			"\"counts_left\":%" G_GUINT64_FORMAT ",\"ranks\":[%s]",
			(const char *)service, use->targets, use->idle,
			use->idle_at_work, use->idle_suspected, use->suspected,
			lod_request_rate(lod, service, now_us),
			lod_unserved_share(lod, service),
			(double)use->in_flight / use->slots, use->busiest,
			ctr_get(lod->node->ctr, lod->counts_left), ranks->str);
	}
}
