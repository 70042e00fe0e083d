#include "fleet_deploy.h"

#include <string.h>

#define READY_SECONDS 15.0

const struct fleet_deployment fleet_cascade = {
	.name = "cascade",
	.region = "pnw",
	.domains = {"pnw-a", "pnw-b", "pnw-c"},
	.slots = 4,
	.detection = "careful",
	.services =
		{
			{"courses", 8, NULL, 50, 10},
			{"checkout", 12, "courses", 75, 20},
			{"exports", 6, NULL, 50, 40},
			{"lookup", 12, NULL, 50, 10},
		},
	.routes =
		{
			{"listing", "/courses", "GET, HEAD", "courses", 2000,
			 "normal", 3},
			{"pay", "/pay", "POST", "checkout", 5000, "high", 1},
			{"export", "/export", "GET", "exports", 20000, "low",
			 2},
			{"status", "/status", "GET, HEAD", "lookup", 2000,
			 "normal", 3},
		},
};

const struct fleet_deployment fleet_nounou = {
	.name = "nounou",
	.region = "casa-settat",
	.domains = {"casa-a", "casa-b", "casa-c"},
	.slots = 6,
	.detection = "quick",
	.services =
		{
			{"bulletins", 8, NULL, 50, 10},
			{"virements", 16, "bulletins", 75, 20},
			{"archives", 6, NULL, 50, 40},
			{"contrats", 11, NULL, 50, 10},
		},
	.routes =
		{
			{"payslip", "/bulletins", "GET, HEAD", "bulletins",
			 2000, "normal", 3},
			{"transfer", "/virements", "POST", "virements", 5000,
			 "high", 1},
			{"archive", "/archives", "GET", "archives", 20000,
			 "low", 2},
			{"contract", "/contrats", "GET, HEAD", "contrats", 2000,
			 "normal", 3},
		},
};

void fleet_deploy(struct fleet *f, const struct fleet_deployment *d,
		  unsigned int servers_max, unsigned int nodes)
{
	for (size_t s = 0; s < G_N_ELEMENTS(d->services); s++) {
		const struct fleet_service *service = &d->services[s];

		for (unsigned int i = 0; i < service->servers; i++) {
			if (i < servers_max)
				fleet_add_target(f, service->name,
						 d->domains[i % 3], d->slots,
						 service->work_ms);
		}
	}
	for (unsigned int i = 0; i < nodes; i++)
		fleet_add_node(f, d->region, d->domains[i % 3]);
	fleet_put_vms(f, NULL);
}

static void write_service(const struct fleet *f,
			  const struct fleet_deployment *d,
			  const struct fleet_service *s, GString *out)
{
	g_string_append_printf(
		out,
		"  - name: %s\n    floor: %u%%\n    slots: %u\n"
		"    detection: %s\n    not_run_status: [503]\n"
		"    probe: {path: /health, interval_ms: 1000}\n"
		"    objective: {good: 99.9%%, latency_ms: 500}\n",
		s->name, s->floor, d->slots, d->detection);
	if (s->depends_on)
		g_string_append_printf(out, "    depends_on: [%s]\n",
				       s->depends_on);
	fleet_write_servers(f, s->name, out);
}

static void write_route(const struct fleet_route *r, GString *out)
{
	g_string_append_printf(out,
			       "  - {name: %s, path: %s, methods: [%s], "
			       "service: %s, deadline_ms: %u, priority: %s",
			       r->name, r->path, r->methods, r->service,
			       r->deadline_ms, r->priority);
	if (r->tries > 1)
		g_string_append_printf(out, ", repeat: allowed, tries: %u",
				       r->tries);
	g_string_append(out, "}\n");
}

char *fleet_deploy_text(const struct fleet *f, const struct fleet_deployment *d)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(out, "deployment: %s\nfailure_domains:\n",
			       d->name);
	for (int i = 0; i < 3; i++)
		g_string_append_printf(out, "  - {name: %s, region: %s}\n",
				       d->domains[i], d->region);
	g_string_append(out, "services:\n");
	for (size_t s = 0; s < G_N_ELEMENTS(d->services); s++)
		write_service(f, d, &d->services[s], out);
	g_string_append(out, "routes:\n");
	for (size_t r = 0; r < G_N_ELEMENTS(d->routes); r++)
		write_route(&d->routes[r], out);
	return g_string_free(out, FALSE);
}

struct fleet *fleet_start(const char *build, const struct fleet_deployment *d,
			  unsigned int servers_max, unsigned int nodes,
			  bool relays)
{
	struct fleet *f = fleet_new(build, relays);
	g_autofree char *text = NULL;

	fleet_deploy(f, d, servers_max, nodes);
	text = fleet_deploy_text(f, d);
	g_assert_cmpint(fleet_put_config(f, text), ==, 0);
	fleet_wait_ready(f, READY_SECONDS);
	return f;
}

void fleet_callers(const struct fleet *f, const char **out)
{
	for (unsigned int i = 0; i < f->node_count; i++) {
		if (f->nodes[i].process.pid)
			*out++ = f->nodes[i].caller;
	}
	*out = NULL;
}
