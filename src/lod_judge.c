#include "lod_impl.h"

#include "fs_log.h"

/* Weights of outcomes that other nodes report and that a fault of their network
 * path may cause: a node that alone cannot reach a target keeps reporting it.
 * Other outcomes, such as a failure answer, are the target's and count fully. A
 * hub forwards no path failures of a node once two in five of its outcomes are
 * path failures. */
#define PATH_FAULT_WEIGHT 0.25
#define UNREACHABLE_WEIGHT 0.05
#define PATH_FAULT_SHARE_MAX 0.4
/* smoothing factor of that share, per outcome */
#define PATH_FAULT_SHARE_ALPHA 0.15

/* smoothing factor of a service's mean latency, per answer */
#define MEAN_LATENCY_ALPHA 0.03
/* The first answers are averaged with equal weights, and do not update the
 * slowness of their targets. */
#define MEAN_LATENCY_WARMUP 20
/* Successes of a target with a higher probability of failure than this are sent
 * before those of other targets. */
#define DEGRADED_PROBABILITY 0.05
/* Faster answers did no work: they update neither mean latency nor slowness. */
#define WORK_LATENCY_MIN_US (10 * FS_US_PER_MS)

bool lod_evidence_is_reliable(struct lod *lod, const struct lod_evidence *e)
{
	double *share = g_hash_table_lookup(lod->path_fault_shares, &e->origin);
	bool path_fault = gry_may_be_path_fault(e->outcome);

	if (!share) {
		share = g_new0(double, 1);
		g_hash_table_insert(lod->path_fault_shares,
				    g_memdup2(&e->origin, sizeof(e->origin)),
				    share);
	}
	for (uint32_t i = 0; i < e->count; i++)
		*share += PATH_FAULT_SHARE_ALPHA *
			  ((path_fault ? 1.0 : 0.0) - *share);
	return !path_fault || *share < PATH_FAULT_SHARE_MAX;
}

void lod_evidence_enqueue(const struct lod *lod, struct lod_queue *queue,
			  const struct lod_evidence *e)
{
	struct dir_target *target = dir_target_by_hash(lod->dir, e->target);
	int64_t now_us = fs_now_us();
	uint64_t dropped = queue->dropped;

	lod_queue_add(queue, e,
		      target && gry_failure_probability(
					&bal_target_get(target, now_us)->gry,
					now_us) > DEGRADED_PROBABILITY);
	if (queue->dropped > dropped)
		ctr_count(lod->node->ctr, "lod_evidence_dropped",
			  queue->dropped - dropped);
}

/* Returns the weight of an outcome that another node reported. */
static double evidence_weight(const struct lod_evidence *e)
{
	if (!gry_may_be_path_fault(e->outcome))
		return 1.0;
	return e->outcome == GRY_UNREACHABLE ? UNREACHABLE_WEIGHT :
					       PATH_FAULT_WEIGHT;
}

static void record_latency(struct lod *lod, struct dir_target *target,
			   int64_t us, int64_t now_us)
{
	struct lod_mean_latency *mean =
		g_hash_table_lookup(lod->mean_latencies, target->entry.service);

	if (us < WORK_LATENCY_MIN_US)
		return;
	if (!mean) {
		mean = g_new0(struct lod_mean_latency, 1);
		g_hash_table_insert(lod->mean_latencies,
				    g_strdup(target->entry.service), mean);
	}
	if (mean->count >= MEAN_LATENCY_WARMUP)
		gry_record_response_time(&bal_target_get(target, now_us)->gry,
					 us, (int64_t)mean->us, now_us);
	mean->count++;
	mean->us += MAX(MEAN_LATENCY_ALPHA, 1.0 / mean->count) *
		    ((double)us - mean->us);
}

static void log_suspicion_change(const struct lod *lod,
				 const struct dir_target *target,
				 const struct lod_evidence *e, bool own,
				 bool suspected, double failure)
{
	ctr_count(lod->node->ctr, suspected ? "lod_suspected" : "lod_trusted",
		  1);
	fs_log_eventf("lod", G_LOG_LEVEL_INFO,
		      suspected ? "target_suspected" : "target_trusted",
		      "\"target\":\"%s\",\"service\":\"%s\",\"outcome\":\"%s\","
		      "\"source\":\"%s\",\"failure_share\":%.2f",
		      target->entry.id, target->entry.service,
		      gry_outcome_name(e->outcome), own ? "own" : "peer",
		      failure);
}

void lod_evidence_apply(struct lod *lod, const struct lod_evidence *e, bool own)
{
	struct dir_target *target = dir_target_by_hash(lod->dir, e->target);
	double weight = own ? 1.0 : evidence_weight(e);
	int64_t now_us = fs_now_us();
	struct gry *gry;
	bool was_suspected;

	if (!target)
		return;
	gry = &bal_target_get(target, now_us)->gry;
	was_suspected = gry_is_suspected(gry, now_us);
	for (uint32_t i = 0; i < e->count; i++) {
		gry_record_outcome(gry, e->outcome, weight, now_us);
		if (e->outcome == GRY_FULL)
			bal_note_full(target, now_us);
		if (e->outcome == GRY_FULL && own)
			ctr_count(lod->node->ctr, "lod_refused_full", 1);
		if (e->outcome == GRY_SUCCESS)
			record_latency(lod, target,
				       e->latency_sum_us / e->count, now_us);
	}
	if (was_suspected != gry_is_suspected(gry, now_us))
		log_suspicion_change(lod, target, e, own, !was_suspected,
				     gry_failure_probability(gry, now_us));
}

int64_t lod_mean_latency(const struct lod *lod, const char *service)
{
	const struct lod_mean_latency *mean =
		g_hash_table_lookup(lod->mean_latencies, service);

	return mean ? (int64_t)mean->us : 0;
}
