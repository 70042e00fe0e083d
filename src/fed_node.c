#include "fed_impl.h"

#include <string.h>

#include "fs_log.h"

static void schedule_renewal(struct fed *fed, int err)
{
	fed->lease_running = false;
	fed->lease_next_us = fs_now_us() +
			     (err ? FED_RETRY_MAX_US : FED_LEASE_RENEW_US) +
			     fed_random(fed, FED_RETRY_MAX_US);
}

void fed_node_restart(struct fed *fed, int64_t now_us)
{
	struct kvs *kvs = &fed->platform.kvs;

	kvs->ops->cancel(kvs->store, fed);
	fed->lease = 0;
	fed->lease_running = false;
	fed->nodes_running = false;
	fed->lease_next_us = now_us + fed_random(fed, FED_RETRY_MAX_US);
}

/* Returns whether a result is to be handled: one that tells of a restoration is
 * not, as the key is registered anew. */
static bool accept_result(struct fed *fed, const struct kvs_result *result,
			  int *err)
{
	enum fed_era era = fed_note_era(fed, result->era, fs_now_us());

	if (era == FED_ERA_VOID)
		*err = FS_E_UNAVAILABLE;
	return era != FED_ERA_NEWER;
}

static void on_put(void *arg, int err, const struct kvs_result *result)
{
	struct fed *fed = arg;

	if (!accept_result(fed, result, &err))
		return;
	if (err)
		fed->lease = 0;
	schedule_renewal(fed, err);
}

static void on_lease_granted(void *arg, int err,
			     const struct kvs_result *result)
{
	struct fed *fed = arg;
	struct kvs *kvs = &fed->platform.kvs;
	g_autofree char *key = NULL;
	char address[FS_ADDRESS_MAX];

	if (!accept_result(fed, result, &err))
		return;
	if (err) {
		schedule_renewal(fed, err);
		return;
	}
	fed->lease = result->lease;
	set_format_address(&fed->node->peer, address);
	key = g_strdup_printf("%s%s", fed->platform.node_prefix,
			      fed->node->set.name);
	kvs->ops->put(kvs->store, key, address, fed->lease, on_put, fed);
}

static void on_renewed(void *arg, int err, const struct kvs_result *result)
{
	struct fed *fed = arg;

	if (!accept_result(fed, result, &err))
		return;
	if (err == FS_E_NOT_FOUND)
		fed->lease = 0;
	schedule_renewal(fed, err);
}

/* Passes the registered addresses to the membership task as contacts. */
static void on_nodes(void *arg, int err, const struct kvs_page *page)
{
	struct fed *fed = arg;
	struct msg *m;

	fed->nodes_running = false;
	if (fed_note_era(fed, page->era, fs_now_us()) == FED_ERA_VOID || err)
		return;
	m = msg_new(MSG_CONTACTS, fed->node->self, MSG_TASK_MEMBERS);
	m->contacts.addresses =
		g_array_new(FALSE, TRUE, sizeof(struct sockaddr_in));
	for (uint32_t i = 0; i < page->count; i++) {
		struct sockaddr_in at;

		if (page->items[i].value &&
		    !set_parse_address(page->items[i].value, &at))
			g_array_append_val(m->contacts.addresses, at);
	}
	fs_log_eventf("fed", G_LOG_LEVEL_INFO, "nodes_listed", "\"count\":%u",
		      m->contacts.addresses->len);
	bus_send(fed->node->bus, m);
}

static uint32_t peers_alive(const struct fed *fed)
{
	uint32_t n = 0;

	for (uint32_t i = 0; fed->view && i < fed->view->count; i++)
		n += fed->view->members[i].state == MEM_ALIVE &&
		     fed->view->members[i].id != fed->node->self;
	return n;
}

void fed_node_tick(struct fed *fed, int64_t now_us)
{
	struct kvs *kvs = &fed->platform.kvs;

	if (fed->node->stopping)
		return;
	if (fed->role.chosen && !fed->lease_running &&
	    now_us >= fed->lease_next_us) {
		fed->lease_running = true;
		if (fed->lease)
			kvs->ops->renew(kvs->store, fed->lease, on_renewed,
					fed);
		else
			kvs->ops->lease(kvs->store, FED_LEASE_TTL_US,
					on_lease_granted, fed);
	}
	if (!fed->nodes_running && now_us >= fed->nodes_next_us &&
	    now_us - fed->role.started_us > FED_BOOTSTRAP_DELAY_US &&
	    !peers_alive(fed)) {
		fed->nodes_running = true;
		fed->nodes_next_us = now_us + FED_LIST_NODES_INTERVAL_US;
		kvs->ops->range(kvs->store, fed->platform.node_prefix, NULL,
				on_nodes, fed);
	}
}
