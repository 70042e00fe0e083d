#include <xxhash.h>

#include "cnf_priv.h"
#include "fs_log.h"

bool cnf_is_watcher(const struct cnf *cnf)
{
	struct shd_shard place = {.region = cnf->node->set.region};

	if (!cnf->view)
		return false;
	place.hash = XXH64(CNF_KEY, sizeof(CNF_KEY) - 1, 0);
	for (uint32_t rank = 0; rank < FS_CONFIG_WATCHERS; rank++)
		if (shd_owner(&place, cnf->view, rank) == cnf->node->self)
			return true;
	return false;
}

static void log_outage(const struct cnf *cnf, const struct cnf_call *call,
		       int err)
{
	if (call->failed == 0 && err)
		fs_log_eventf("cnf", G_LOG_LEVEL_WARNING, "platform_lost",
			      "\"call\":\"%s\",\"error\":\"%s\"",
			      call == &cnf->vms ? "vms" : "config",
			      fs_err_name(err));
	if (call->failed && !err)
		fs_log_eventf("cnf", G_LOG_LEVEL_MESSAGE, "platform_found",
			      "\"call\":\"%s\"",
			      call == &cnf->vms ? "vms" : "config");
}

static void on_value(void *arg, int err, const struct plt_value *value)
{
	struct cnf *cnf = arg;
	int64_t now_us = fs_now_us();
	struct cnf_value parsed;

	if (err == FS_E_NOT_FOUND)
		err = 0;
	log_outage(cnf, &cnf->read, err);
	cnf_call_end(cnf, &cnf->read, !err, 0, now_us);
	if (err || !value->data)
		return;
	cnf->revision = value->revision;
	if (cnf_value_parse(value->data, &parsed)) {
		fs_log_event("cnf", G_LOG_LEVEL_WARNING, "value_malformed", "");
		return;
	}
	cnf_offer(cnf, parsed.version, parsed.text, now_us);
	g_free(parsed.text);
}

static void on_vms(void *arg, int err, const struct plt_vm *vms, uint32_t count)
{
	struct cnf *cnf = arg;

	log_outage(cnf, &cnf->vms, err);
	cnf_call_end(cnf, &cnf->vms, !err, FS_VMS_POLL_US, fs_now_us());
	if (!err)
		cnf_broadcast_set_vms(cnf, vms, count);
}

/* Watchers wait for changes; any other node reads once at its start. */
static void read_tick(struct cnf *cnf, int64_t now_us)
{
	struct cnf_call *call = &cnf->read;
	bool needed = cnf->watcher ||
		      (!call->answered && !cnf_store_version(&cnf->store));

	if (!needed || call->running || now_us < call->next_us)
		return;
	call->running = true;
	if (call->answered)
		plt_watch(cnf->node->platform, CNF_KEY, cnf->revision,
			  CNF_WATCH_WAIT_US, on_value, cnf);
	else
		plt_get(cnf->node->platform, CNF_KEY, on_value, cnf);
}

static bool knows_peer(const struct cnf *cnf)
{
	for (uint32_t i = 0; cnf->view && i < cnf->view->count; i++)
		if (cnf->view->members[i].id != cnf->node->self &&
		    cnf->view->members[i].state == MEM_ALIVE)
			return true;
	return false;
}

static void vms_tick(struct cnf *cnf, int64_t now_us)
{
	struct cnf_call *call = &cnf->vms;

	if ((!cnf->watcher && knows_peer(cnf)) || call->running ||
	    now_us < call->next_us)
		return;
	call->running = true;
	plt_vms(cnf->node->platform, on_vms, cnf);
}

void cnf_platform_tick(struct cnf *cnf, int64_t now_us)
{
	bool watcher = cnf_is_watcher(cnf);

	if (watcher != cnf->watcher)
		fs_log_eventf("cnf", G_LOG_LEVEL_MESSAGE, "watcher",
			      "\"watching\":%s", watcher ? "true" : "false");
	cnf->watcher = watcher;
	read_tick(cnf, now_us);
	vms_tick(cnf, now_us);
}
