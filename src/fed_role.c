#include "fed_role.h"

void fed_role_init(struct fed_role *role, bool first_start, int64_t now_us)
{
	*role = (struct fed_role){
		.started_us = now_us,
		.last_rx_us = now_us - 2 * FED_READER_TIMEOUT_US,
		.local_rx_us = now_us - 2 * FED_READER_TIMEOUT_US,
		.listed_us = now_us - 2 * FED_LIST_FRESH_US,
		.no_reader_us = now_us,
		.first_start = first_start,
	};
}

static bool is_chosen(const struct fed_role *role, uint32_t rank,
		      int64_t now_us)
{
	if (now_us - role->started_us < FED_SETTLE_US || rank > FED_STANDBYS)
		return false;
	return !rank || now_us - role->local_rx_us >
				FED_STANDBY_TIMEOUT_US +
					(rank - 1) * FED_STANDBY_STEP_US;
}

static bool is_starting(const struct fed_role *role, int64_t now_us)
{
	return now_us - role->started_us <
	       (role->first_start ? FED_FIRST_START_US : FED_LIST_FRESH_US);
}

/* A node that reads without a reader goes on until a heartbeat arrives, but for
 * the time after its start. */
static bool must_read(const struct fed_role *role, bool starting,
		      int64_t now_us)
{
	if (now_us - role->last_rx_us <= FED_READER_TIMEOUT_US ||
	    (starting && role->first_start))
		return false;
	return !role->listed || (role->reading && !starting) ||
	       now_us - role->listed_us > FED_LIST_FRESH_US;
}

bool fed_role_update(struct fed_role *role, uint32_t rank, bool stopping,
		     int64_t now_us)
{
	bool was = role->reading;
	bool starting = is_starting(role, now_us);
	bool alone = must_read(role, starting, now_us);

	role->first = !rank;
	if (alone)
		role->no_reader_us = now_us;
	if (!stopping && is_chosen(role, rank, now_us))
		role->chosen_us = now_us;
	role->chosen = role->chosen_us && !stopping &&
		       now_us - role->chosen_us < FED_HANDOVER_US;
	role->reading = role->chosen || alone ||
			(was && !starting &&
			 now_us - role->no_reader_us < FED_READ_HYSTERESIS_US);
	return was != role->reading;
}
