/* At most once, whole answers, and refusals that are true, under
 * cuts and silence between entry and dispatcher. */
#include "fleet_scene.h"

static const struct fleet_scenario scenarios[] = {
	{"requests_to_dispatchers_held",
	 {{0.5, FLEET_NODE_RELAY, FLEET_ALL, "hold forward"},
	  {7.0, FLEET_NODE_RELAY, FLEET_ALL, "release"}},
	 2},
	{"answers_of_dispatchers_held",
	 {{0.5, FLEET_NODE_RELAY, FLEET_ALL, "hold back"},
	  {7.0, FLEET_NODE_RELAY, FLEET_ALL, "release"}},
	 2},
	{"links_silent",
	 {{0.5, FLEET_NODE_RELAY, FLEET_ALL, "silence"},
	  {2.0, FLEET_NODE_RELAY, FLEET_ALL, "silence"}},
	 2},
	{"links_closed",
	 {{0.5, FLEET_NODE_RELAY, FLEET_ALL, "close"},
	  {1.0, FLEET_NODE_RELAY, FLEET_ALL, "close"},
	  {1.5, FLEET_NODE_RELAY, FLEET_ALL, "close"},
	  {2.0, FLEET_NODE_RELAY, FLEET_ALL, "close"}},
	 4},
};

int main(int argc, char **argv)
{
	return fleet_scenarios_main(argc, argv, "once_links", scenarios,
				    G_N_ELEMENTS(scenarios));
}
