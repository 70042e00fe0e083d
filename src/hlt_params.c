#include "hlt_params.h"

#define MS FS_US_PER_MS
#define S FS_US_PER_S

static const struct hlt_params careful = {
	.window_us = 20 * S,
	.overdue_min_us = 1500 * MS,
	.overdue_factor = 8,
	.stall_overdue = 3,
	.stall_permille = 750,
	.stall_quiet_us = 2 * S,
	.errors_bad = 6,
	.errors_permille = 200,
	.slow_factor = 5,
	.slow_min_us = 200 * MS,
	.slow_answers = 12,
	.slow_permille = 600,
	.connect_failures = 5,
	.trial_after_us = 5 * S,
	.trial_after_hard_us = 2 * S,
	.trial_spacing_us = 2 * S,
	.eject_after_us = 15 * S,
	.eject_bad = 4,
	.eject_recent_us = 20 * S,
	.clear_good = 10,
	.clear_us = 10 * S,
	.idle_clear_us = 30 * S,
	.return_good = 5,
	.return_us = 20 * S,
	.ejected_spacing_us = 4 * S,
	.shift_max = 4,
	.relapse_us = 600 * S,
	.common_permille = 500,
};

static const struct hlt_params balanced = {
	.window_us = 10 * S,
	.overdue_min_us = 800 * MS,
	.overdue_factor = 6,
	.stall_overdue = 2,
	.stall_permille = 750,
	.stall_quiet_us = 1 * S,
	.errors_bad = 5,
	.errors_permille = 200,
	.slow_factor = 4,
	.slow_min_us = 150 * MS,
	.slow_answers = 10,
	.slow_permille = 550,
	.connect_failures = 4,
	.trial_after_us = 3 * S,
	.trial_after_hard_us = 1 * S,
	.trial_spacing_us = 1 * S,
	.eject_after_us = 8 * S,
	.eject_bad = 4,
	.eject_recent_us = 10 * S,
	.clear_good = 8,
	.clear_us = 6 * S,
	.idle_clear_us = 20 * S,
	.return_good = 5,
	.return_us = 15 * S,
	.ejected_spacing_us = 3 * S,
	.shift_max = 4,
	.relapse_us = 600 * S,
	.common_permille = 500,
};

static const struct hlt_params quick = {
	.window_us = 5 * S,
	.overdue_min_us = 400 * MS,
	.overdue_factor = 4,
	.stall_overdue = 2,
	.stall_permille = 600,
	.stall_quiet_us = 500 * MS,
	.errors_bad = 4,
	.errors_permille = 150,
	.slow_factor = 4,
	.slow_min_us = 100 * MS,
	.slow_answers = 6,
	.slow_permille = 500,
	.connect_failures = 3,
	.trial_after_us = 1500 * MS,
	.trial_after_hard_us = 500 * MS,
	.trial_spacing_us = 500 * MS,
	.eject_after_us = 3 * S,
	.eject_bad = 3,
	.eject_recent_us = 5 * S,
	.clear_good = 8,
	.clear_us = 4 * S,
	.idle_clear_us = 15 * S,
	.return_good = 5,
	.return_us = 10 * S,
	.ejected_spacing_us = 2 * S,
	.shift_max = 4,
	.relapse_us = 600 * S,
	.common_permille = 500,
};

const struct hlt_params *hlt_params_of(enum cfg_detection detection)
{
	switch (detection) {
	case CFG_DETECT_QUICK:
		return &quick;
	case CFG_DETECT_BALANCED:
		return &balanced;
	default:
		return &careful;
	}
}
