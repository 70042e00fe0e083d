#include <string.h>

#include "ejc_impl.h"

bool ejc_rule_path(int64_t witnesses, int64_t answered, int64_t reached)
{
	return reached > 0 || (witnesses > 0 && answered == 0);
}

/* Whether a member is a witness: alive and in another failure domain than this
 * node and, if @p strict, than the server. */
static bool is_witness(const struct ejc *ejc, const struct mem_member *member,
		       const char *domain, bool strict)
{
	if (member->id == ejc->node->self || member->state != MEM_ALIVE ||
	    !strcmp(member->domain, ejc->node->set.domain))
		return false;
	return !strict || strcmp(member->domain, domain) != 0;
}

static void query_member(struct ejc *ejc, const struct mem_member *member,
			 const char *server, uint64_t serial)
{
	struct msg *m = msg_new(MSG_PROBE_REQUEST, member->id, MSG_TASK_PROBE);

	m->probe_request.serial = serial;
	m->probe_request.server = g_strdup(server);
	bus_send(ejc->node->bus, m);
}

/* Queries witnesses, from a start index that depends on the serial number. If
 * @p strict, two consecutive witnesses are in different failure domains. */
static int64_t query_witnesses(struct ejc *ejc, const char *server,
			       uint64_t serial, int64_t queried, bool strict)
{
	handle h = cfg_find_server(ejc->cfg, server);
	const char *domain =
		h == FS_NONE ?
			"" :
			ejc->cfg->domains[ejc->cfg->servers[h].domain].name;
	const struct mem_view *view = ejc->view;
	const char *last = "";

	for (uint32_t n = 0; n < view->count && queried < EJC_WITNESSES; n++) {
		uint32_t i = (uint32_t)((serial * 7 + n) % view->count);
		const struct mem_member *member = &view->members[i];

		if (!is_witness(ejc, member, domain, strict) ||
		    (strict && !strcmp(member->domain, last)))
			continue;
		query_member(ejc, member, server, serial);
		last = member->domain;
		queried++;
	}
	return queried;
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
		.queried_us = now_us,
		.pending = true,
	};
	path->witnesses = query_witnesses(ejc, server, path->serial, 0, true);
	if (!path->witnesses)
		path->witnesses =
			query_witnesses(ejc, server, path->serial, 0, false);
}

static struct ejc_path *find_path(struct ejc *ejc,
				  const struct msg_probe_result *result)
{
	GHashTableIter iter;
	struct ejc_service *service;

	g_hash_table_iter_init(&iter, ejc->services);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&service)) {
		struct ejc_server *server =
			g_hash_table_lookup(service->servers, result->server);

		if (server && server->path.pending &&
		    server->path.serial == result->serial)
			return &server->path;
	}
	return NULL;
}

void ejc_path_receive(struct ejc *ejc, const struct msg_probe_result *result,
		      int64_t now_us)
{
	struct ejc_path *path = find_path(ejc, result);

	(void)now_us;
	if (!path || path->answered >= path->witnesses)
		return;
	path->answered++;
	path->reached += result->reachable;
}

static void complete_query(struct ejc_service *service, const char *name,
			   struct ejc_server *server, int64_t now_us)
{
	struct ejc_path *path = &server->path;

	path->pending = false;
	if (ejc_rule_path(path->witnesses, path->answered, path->reached)) {
		ejc_record_path(service, name, path, now_us);
		return;
	}
	flr_sync_request(service->sync, name, server->trigger_rule, false,
			 now_us);
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

		if (path->pending &&
		    (path->answered == path->witnesses || path->reached ||
		     now_us - path->queried_us >= EJC_PATH_TIMEOUT_US))
			complete_query(service, name, server, now_us);
	}
}
