#include "hlt_rules.h"

/* part / (part + rest) >= permille / 1000, without a division */
static bool share_reached(int64_t part, int64_t rest, int64_t permille)
{
	return part * 1000 >= (part + rest) * permille;
}

/* part / (part + rest) >= 2 * peers_part / (peers_part + peers_rest) */
static bool twice_peers(int64_t part, int64_t rest, int64_t peers_part,
			int64_t peers_rest)
{
	return part * (peers_part + peers_rest) >=
	       2 * peers_part * (part + rest);
}

bool hlt_rule_stall(const struct hlt_params *p, int64_t overdue,
		    int64_t in_flight, int64_t quiet_us)
{
	return overdue >= p->stall_overdue && overdue <= in_flight &&
	       share_reached(overdue, in_flight - overdue, p->stall_permille) &&
	       quiet_us >= p->stall_quiet_us;
}

bool hlt_rule_errors(const struct hlt_params *p, int64_t bad, int64_t good,
		     int64_t peers_bad, int64_t peers_good)
{
	return bad >= p->errors_bad &&
	       share_reached(bad, good, p->errors_permille) &&
	       twice_peers(bad, good, peers_bad, peers_good);
}

bool hlt_rule_slow(const struct hlt_params *p, int64_t slow, int64_t good,
		   int64_t peers_slow, int64_t peers_good)
{
	return slow >= p->slow_answers && slow <= good &&
	       share_reached(slow, good - slow, p->slow_permille) &&
	       twice_peers(slow, good - slow, peers_slow,
			   peers_good - peers_slow);
}

bool hlt_rule_connect(const struct hlt_params *p, int64_t failures)
{
	return failures >= p->connect_failures;
}

bool hlt_rule_trial(const struct hlt_params *p, bool hard, int64_t since_us)
{
	return since_us >= (hard ? p->trial_after_hard_us : p->trial_after_us);
}

/* Either enough good answers, or so long without any work that could have
 * told that a cautious start is worth it. */
static bool well_for(int64_t good_run, int64_t good_min, int64_t quiet_us,
		     int64_t good_us, int64_t idle_us, bool reachable)
{
	if (good_run >= good_min && quiet_us >= good_us)
		return true;
	return good_run == 0 && reachable && quiet_us >= idle_us;
}

bool hlt_rule_clear(const struct hlt_params *p, int64_t good_run,
		    int64_t quiet_us, int64_t relapses, bool reachable)
{
	int64_t shift = CLAMP(relapses, 0, p->shift_max);

	return well_for(good_run, p->clear_good, quiet_us, p->clear_us << shift,
			p->idle_clear_us << shift, reachable);
}

bool hlt_rule_reinstate(const struct hlt_params *p, int64_t good_run,
			int64_t quiet_us, int64_t ejections, bool reachable)
{
	int64_t shift = CLAMP(ejections - 1, 0, p->shift_max);

	return well_for(good_run, p->return_good, quiet_us,
			p->return_us << shift, (p->idle_clear_us * 2) << shift,
			reachable);
}

bool hlt_rule_eject(const struct hlt_params *p, int64_t since_us, int64_t bad,
		    int64_t last_bad_us)
{
	return since_us >= p->eject_after_us && bad >= p->eject_bad &&
	       last_bad_us <= p->eject_recent_us;
}

bool hlt_rule_common_cause(const struct hlt_params *p, int64_t sick,
			   int64_t count)
{
	return sick * 1000 > count * p->common_permille;
}

int64_t hlt_steering_headroom(int64_t first, int64_t servers, int64_t count,
			      int64_t out, int64_t floor)
{
	int64_t room = MAX(count - floor - out, 0);

	if (count <= 0)
		return 0;
	return MIN(first + servers, count) * room / count -
	       MIN(first, count) * room / count;
}
