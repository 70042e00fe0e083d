#include "node.h"

#include "fs_log.h"

void node_add_status(struct node *node, const char *name,
		     void (*write)(const void *task, GString *out,
				   int64_t now_us),
		     const void *task)
{
	if (node->status_count == NODE_STATUS_MAX) {
		fs_log_event("node", G_LOG_LEVEL_CRITICAL, "status_full", "");
		return;
	}
	node->status[node->status_count++] = (struct node_status){
		.name = name,
		.write = write,
		.task = task,
	};
}

void node_begin_stop(struct node *node)
{
	struct aud_record rec;

	if (node->stopping)
		return;
	node->stopping = true;
	fs_log_event("node", G_LOG_LEVEL_MESSAGE, "stopping", "");
	aud_begin(&rec, AUD_DRAIN, AUD_R_DRAIN_NODE, 0, fs_now_us());
	g_strlcpy(rec.choice, "leaving", sizeof(rec.choice));
	aud_emit(node->aud, &rec);
	bus_send_all(node->bus, MSG_STOP, NULL);
}
