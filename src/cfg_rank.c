#include "cfg_rank.h"

static bool organisations_have_ranks(const struct cfg *cfg)
{
	for (uint32_t i = 0; i < cfg->organisation_count; i++) {
		if (cfg->organisations[i].has_rank)
			return true;
	}
	return false;
}

/* Notes that requests of a rank go to a service. */
static void note(struct cfg *cfg, handle service, uint32_t rank, GArray *known)
{
	uint32_t *first = &g_array_index(known, uint32_t, service);

	if (*first == FS_NONE)
		*first = rank;
	cfg->services[service].ranked |= *first != rank;
}

void cfg_rank_services(struct cfg *cfg)
{
	g_autoptr(GArray) known = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	const uint32_t none = FS_NONE;
	bool all = organisations_have_ranks(cfg);

	for (uint32_t i = 0; i < cfg->service_count; i++) {
		g_array_append_val(known, none);
		cfg->services[i].ranked = all;
	}
	for (uint32_t i = 0; i < cfg->route_count; i++) {
		const struct cfg_route *route = &cfg->routes[i];

		if (!route->share_count)
			note(cfg, route->service, route->rank, known);
		for (uint32_t s = 0; s < route->share_count; s++)
			note(cfg, route->shares[s].service, route->rank, known);
	}
}
