#include <string.h>

#include "ejc_impl.h"

bool ejc_rule_path(int64_t witnesses, int64_t told, int64_t reached)
{
	return reached > 0 || (witnesses > 0 && told == 0);
}

/* Whether a member can be a witness: alive, in a failure domain that is
 * neither this node's nor the server's, if @p strict. */
static bool is_witness(const struct ejc *ejc, const struct mem_member *member,
		       const char *domain, bool strict)
{
	if (member->id == ejc->node->self || member->state != MEM_ALIVE ||
	    !strcmp(member->domain, ejc->node->set.domain))
		return false;
	return !strict || strcmp(member->domain, domain) != 0;
}

static void ask_member(struct ejc *ejc, const struct mem_member *member,
		       const char *server, uint64_t serial)
{
	struct msg *m = msg_new(MSG_PROBE_ASK, member->id, MSG_TASK_PROBE);

	m->probe_ask.serial = serial;
	m->probe_ask.server = g_strdup(server);
	bus_send(ejc->node->bus, m);
}

/* Asks members from a place that differs per question, each in a failure
 * domain of its own where there are enough. */
static int64_t ask_witnesses(struct ejc *ejc, const char *server,
			     uint64_t serial, int64_t asked, bool strict)
{
	handle h = cfg_find_server(ejc->cfg, server);
	const char *domain =
		h == FS_NONE ?
			"" :
			ejc->cfg->domains[ejc->cfg->servers[h].domain].name;
	const struct mem_view *view = ejc->view;
	const char *last = "";

	for (uint32_t n = 0; n < view->count && asked < EJC_WITNESSES; n++) {
		uint32_t i = (uint32_t)((serial * 7 + n) % view->count);
		const struct mem_member *member = &view->members[i];

		if (!is_witness(ejc, member, domain, strict) ||
		    (strict && !strcmp(member->domain, last)))
			continue;
		ask_member(ejc, member, server, serial);
		last = member->domain;
		asked++;
	}
	return asked;
}

void ejc_path_query(struct ejc_service *service, const char *server,
		    int64_t now_us)
{
	struct ejc *ejc = service->ejc;
	struct ejc_path *path = &ejc_server_get(service, server)->path;

	if (!ejc->view)
		return;
	*path = (struct ejc_path){
		.serial = ++ejc->serial,
		.asked_us = now_us,
		.open = true,
	};
	path->witnesses = ask_witnesses(ejc, server, path->serial, 0, true);
	if (!path->witnesses)
		path->witnesses =
			ask_witnesses(ejc, server, path->serial, 0, false);
}

static struct ejc_path *find_path(struct ejc *ejc,
				  const struct msg_probe_told *told)
{
	GHashTableIter iter;
	struct ejc_service *service;

	g_hash_table_iter_init(&iter, ejc->services);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&service)) {
		struct ejc_server *server =
			g_hash_table_lookup(service->servers, told->server);

		if (server && server->path.open &&
		    server->path.serial == told->serial)
			return &server->path;
	}
	return NULL;
}

void ejc_path_receive(struct ejc *ejc, const struct msg_probe_told *told,
		      int64_t now_us)
{
	struct ejc_path *path = find_path(ejc, told);

	(void)now_us;
	if (!path || path->told >= path->witnesses)
		return;
	path->told++;
	path->reached += told->reachable;
}

static void settle(struct ejc_service *service, const char *name,
		   struct ejc_server *server, int64_t now_us)
{
	struct ejc_path *path = &server->path;

	path->open = false;
	if (ejc_rule_path(path->witnesses, path->told, path->reached)) {
		ejc_record_path(service, name, path, now_us);
		return;
	}
	flr_sync_request(service->sync, name, server->judged, false, now_us);
	path->serial = 0;
}

void ejc_path_tick(struct ejc_service *service, int64_t now_us)
{
	GHashTableIter iter;
	const char *name;
	struct ejc_server *server;

	g_hash_table_iter_init(&iter, service->servers);
	while (g_hash_table_iter_next(&iter, (void **)&name,
				      (void **)&server)) {
		const struct ejc_path *path = &server->path;

		if (path->open &&
		    (path->told == path->witnesses || path->reached ||
		     now_us - path->asked_us >= EJC_PATH_TIMEOUT_US))
			settle(service, name, server, now_us);
	}
}
