#include "fs_log.h"
#include "lnk.h"

void lnk_refuse_not_run(struct lnk *lnk, node_id peer, const struct req_id *id)
{
	struct msg *m = msg_new(MSG_REFUSAL, lnk->node->self, MSG_TASK_ENTRY);

	m->from = peer;
	m->refusal.id = *id;
	m->refusal.err = FS_E_NO_DISPATCHER;
	m->refusal.outcome = FS_NOT_RUN;
	ctr_count(lnk->node->ctr, "lnk_requests_returned", 1);
	bus_deliver(lnk->node->bus, m);
}

void lnk_notify_down(struct lnk *lnk, node_id peer)
{
	for (int task = 1; task < MSG_TASK_COUNT; task++) {
		struct msg *m = msg_new(MSG_LINK_DOWN, lnk->node->self,
					(enum msg_task)task);

		m->link_down.node = peer;
		bus_send(lnk->node->bus, m);
	}
}

void lnk_log_end(struct lnk *lnk, const char *side, node_id peer,
		 const struct sockaddr_in *address, const char *reason)
{
	g_autofree char *name =
		g_strdup_printf("lnk_ends{side=%s,reason=%s}", side, reason);
	const struct mem_member *member =
		lnk->view ? mem_view_find(lnk->view, peer) : NULL;
	char text[FS_ADDRESS_MAX];

	set_format_address(address, text);
	ctr_count(lnk->node->ctr, name, 1);
	fs_log_eventf("lnk", G_LOG_LEVEL_WARNING, "link_ended",
		      "\"side\":\"%s\",\"peer\":\"%s\",\"address\":\"%s\","
		      "\"reason\":\"%s\"",
		      side, member ? member->name : "", text, reason);
}
