#include "node.h"

struct ejc {
	struct node *node;
};

static void receive(void *task, struct msg *m, int64_t now_us)
{
	(void)task;
	(void)m;
	(void)now_us;
}

static const struct bus_task_ops ejc_ops = {"eject", receive};

struct ejc *ejc_new(struct node *node)
{
	struct ejc *ejc = g_new0(struct ejc, 1);

	ejc->node = node;
	bus_attach(node->bus, MSG_TASK_EJECT, &ejc_ops, ejc);
	return ejc;
}

void ejc_free(struct ejc *ejc)
{
	g_free(ejc);
}
