#include "cnf_priv.h"

uint64_t cnf_peers_newest(const struct cnf *cnf, node_id *id)
{
	uint64_t newest = 0;

	*id = 0;
	for (uint32_t i = 0; cnf->view && i < cnf->view->count; i++) {
		const struct mem_member *m = &cnf->view->members[i];

		if (m->id == cnf->node->self || m->state != MEM_ALIVE ||
		    m->config_version <= newest)
			continue;
		newest = m->config_version;
		*id = m->id;
	}
	return newest;
}

static void request_config(struct cnf *cnf, node_id id, uint64_t version,
			   int64_t now_us)
{
	struct msg *m = msg_new(MSG_CONFIG_REQUEST, id, MSG_TASK_CONFIG);

	m->config_request.known = cnf_store_version(&cnf->store);
	cnf->requested_from = id;
	cnf->requested_version = version;
	cnf->requested_us = now_us;
	bus_send(cnf->node->bus, m);
}

void cnf_peers_hint(struct cnf *cnf, node_id id, uint64_t version,
		    int64_t now_us)
{
	bool waiting = cnf->requested_from &&
		       cnf->requested_version >= version &&
		       now_us - cnf->requested_us < CNF_REQUEST_TIMEOUT_US;

	if (cnf_store_should_fetch(&cnf->store, version) && !waiting)
		request_config(cnf, id, version, now_us);
}

void cnf_peers_tick(struct cnf *cnf, int64_t now_us)
{
	node_id id;
	uint64_t newest;

	if (cnf->requested_from &&
	    now_us - cnf->requested_us < CNF_REQUEST_TIMEOUT_US)
		return;
	newest = cnf_peers_newest(cnf, &id);
	if (id && id != cnf->requested_from)
		cnf_peers_hint(cnf, id, newest, now_us);
	else
		cnf->requested_from = 0;
}

void cnf_peers_answer_request(struct cnf *cnf, const struct msg *m)
{
	const struct cfg *cfg = cnf->store.cfg;
	struct msg *answer;

	if (!cfg || cfg->version <= m->config_request.known)
		return;
	answer = msg_new(MSG_CONFIG_TEXT, m->from, MSG_TASK_CONFIG);
	answer->config_text.version = cfg->version;
	answer->config_text.text = g_strdup(cfg->text);
	bus_send(cnf->node->bus, answer);
}
