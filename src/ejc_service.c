#include <string.h>

#include "ejc_impl.h"
#include "fs_log.h"

static void on_decided(void *arg, const struct flr_decision *decision)
{
	ejc_record_decision(arg, decision, fs_now_us());
}

struct ejc_service *ejc_service_new(struct ejc *ejc, const char *name)
{
	struct ejc_service *service = g_new0(struct ejc_service, 1);

	service->ejc = ejc;
	service->name = g_strdup(name);
	service->key =
		g_strdup_printf("eject/%s/%s", ejc->node->set.region, name);
	service->sync = flr_sync_new(&flr_times_default, ejc->node->set.name,
				     on_decided, service);
	service->servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return service;
}

void ejc_service_free(void *data)
{
	struct ejc_service *service = data;

	plt_cancel(service->ejc->node->platform, service);
	flr_sync_free(service->sync);
	g_hash_table_unref(service->servers);
	g_free(service->key);
	g_free(service->name);
	g_free(service);
}

bool ejc_scope(const struct ejc_service *service, struct flr_scope *out)
{
	const struct cfg *cfg = service->ejc->cfg;

	*out = (struct flr_scope){
		.cfg = cfg,
		.service = cfg_find_service(cfg, service->name),
		.region = service->ejc->node->set.region,
	};
	return out->service != FS_NONE;
}

struct ejc_server *ejc_server_get(struct ejc_service *service, const char *name)
{
	struct ejc_server *server = g_hash_table_lookup(service->servers, name);

	if (server)
		return server;
	server = g_new0(struct ejc_server, 1);
	server->last_refusal = AUD_RULE_COUNT;
	g_hash_table_insert(service->servers, g_strdup(name), server);
	return server;
}

static void publish_record(struct ejc_service *service,
			   const struct flr_record *record,
			   int64_t confirmed_us)
{
	struct node *node = service->ejc->node;
	struct msg *m = msg_new(MSG_RECORD, node->self, MSG_TASK_DISPATCH);

	m->record.service = g_strdup(service->name);
	m->record.record = record ? flr_record_copy(record) : NULL;
	m->record.confirmed_us = confirmed_us;
	bus_send(node->bus, m);
}

static void publish_changes(struct ejc_service *service, int64_t now_us)
{
	const struct flr_record *record =
		flr_sync_record(service->sync, now_us);
	int64_t confirmed_us = flr_sync_confirmed(service->sync);

	if (!record && service->published) {
		publish_record(service, NULL, confirmed_us);
		service->published = false;
		fs_log_eventf("ejc", G_LOG_LEVEL_WARNING, "record_lapsed",
			      "\"service\":\"%s\"", service->name);
	} else if (record && (!service->published ||
			      confirmed_us != service->published_us)) {
		publish_record(service, record, confirmed_us);
		service->published = true;
		service->published_us = confirmed_us;
	}
}

static void on_read(void *arg, int err, const struct plt_value *value)
{
	struct ejc_service *service = arg;
	int64_t now_us = fs_now_us();
	struct flr_scope scope;

	if (!ejc_scope(service, &scope))
		return;
	flr_sync_read_done(service->sync, &scope, err,
			   value ? value->revision : 0,
			   value && value->data ? value->data : "", now_us);
	publish_changes(service, now_us);
}

static void on_write(void *arg, int err, const struct plt_value *value)
{
	struct ejc_service *service = arg;
	int64_t now_us = fs_now_us();
	struct flr_scope scope;

	if (!ejc_scope(service, &scope))
		return;
	flr_sync_write_done(service->sync, &scope, err,
			    value ? value->revision : 0, now_us);
	publish_changes(service, now_us);
}

void ejc_service_tick(struct ejc_service *service, int64_t now_us)
{
	struct plt *platform = service->ejc->node->platform;
	g_autoptr(GString) value = g_string_new(NULL);
	struct flr_scope scope;
	uint64_t prev = 0;

	if (!ejc_scope(service, &scope))
		return;
	ejc_path_tick(service, now_us);
	switch (flr_sync_next(service->sync, &scope, now_us, value, &prev)) {
	case FLR_CALL_READ:
		plt_get(platform, service->key, on_read, service);
		break;
	case FLR_CALL_WRITE:
		plt_put(platform, service->key, prev, value->str, value->len,
			on_write, service);
		break;
	default:
		break;
	}
	publish_changes(service, now_us);
}

void ejc_service_request(struct ejc_service *service,
			 const struct msg_eject_request *request,
			 int64_t now_us)
{
	enum aud_rule trigger_rule = aud_rule_by_name(request->rule);
	struct ejc_server *server = ejc_server_get(service, request->server);

	if (request->reinstate || trigger_rule != AUD_R_STEER_CONNECT) {
		flr_sync_request(service->sync, request->server, trigger_rule,
				 request->reinstate, now_us);
		return;
	}
	server->trigger_rule = trigger_rule;
	if (!server->path.pending &&
	    (!server->path.serial ||
	     now_us - server->path.queried_us >= EJC_PATH_CACHE_US))
		ejc_path_query(service, request->server, now_us);
}
