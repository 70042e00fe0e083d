/* At most once, whole answers, and refusals that are true, under
 * kills and freezes of the fleet's own processes. */
#include "fleet_scene.h"

static const struct fleet_scenario scenarios[] = {
	{"node_killed",
	 {{1.0, FLEET_NODE_KILL, 1, NULL}, {2.5, FLEET_NODE_RESTART, 1, NULL}},
	 2},
	{"node_frozen",
	 {{0.5, FLEET_NODE_FREEZE, 1, NULL}, {7.0, FLEET_NODE_THAW, 1, NULL}},
	 2},
	{"node_frozen_briefly",
	 {{0.5, FLEET_NODE_FREEZE, 2, NULL},
	  {1.5, FLEET_NODE_THAW, 2, NULL},
	  {2.0, FLEET_NODE_FREEZE, 0, NULL},
	  {3.0, FLEET_NODE_THAW, 0, NULL}},
	 4},
	{"freeze_with_platform_outage",
	 {{0.3, FLEET_PLATFORM_FAULT, 0, "mode=down"},
	  {0.5, FLEET_NODE_FREEZE, 3, NULL},
	  {1.0, FLEET_NODE_KILL, 1, NULL},
	  {6.5, FLEET_NODE_THAW, 3, NULL},
	  {7.0, FLEET_PLATFORM_FAULT, 0, "mode=none"}},
	 5},
};

int main(int argc, char **argv)
{
	return fleet_scenarios_main(argc, argv, "once_nodes", scenarios,
				    G_N_ELEMENTS(scenarios));
}
