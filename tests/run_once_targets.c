/* At most once, whole answers, and refusals that are true, under
 * cuts, silence and faults between dispatcher and target. */
#include "fleet_scene.h"

static const struct fleet_scenario scenarios[] = {
	{"requests_to_targets_held",
	 {{0.5, FLEET_TARGET_RELAY, FLEET_ALL, "hold forward"},
	  {7.0, FLEET_TARGET_RELAY, FLEET_ALL, "release"}},
	 2},
	{"answers_of_targets_held",
	 {{0.5, FLEET_TARGET_RELAY, FLEET_ALL, "hold back"},
	  {7.0, FLEET_TARGET_RELAY, FLEET_ALL, "release"}},
	 2},
	{"target_connections_closed",
	 {{0.5, FLEET_TARGET_RELAY, FLEET_ALL, "close"},
	  {1.0, FLEET_TARGET_RELAY, FLEET_ALL, "close"},
	  {1.5, FLEET_TARGET_RELAY, FLEET_ALL, "close"}},
	 3},
	{"target_connections_silent",
	 {{0.5, FLEET_TARGET_RELAY, FLEET_ALL, "silence"},
	  {2.0, FLEET_TARGET_RELAY, FLEET_ALL, "silence"}},
	 2},
	{"targets_frozen",
	 {{0.5, FLEET_TARGET_FREEZE, FLEET_ALL, NULL},
	  {2.5, FLEET_TARGET_THAW, FLEET_ALL, NULL}},
	 2},
	{"targets_reset",
	 {{0.5, FLEET_TARGET_FAULT, FLEET_ALL, "fault=reset&permille=300"},
	  {3.0, FLEET_TARGET_FAULT, FLEET_ALL, "fault=none"}},
	 2},
};

int main(int argc, char **argv)
{
	return fleet_scenarios_main(argc, argv, "once_targets", scenarios,
				    G_N_ELEMENTS(scenarios));
}
