#include "node.h"

struct prb {
	struct node *node;
};

static void receive(void *task, struct msg *m, int64_t now_us)
{
	(void)task;
	(void)m;
	(void)now_us;
}

static const struct bus_task_ops prb_ops = {"probe", receive};

struct prb *prb_new(struct node *node)
{
	struct prb *prb = g_new0(struct prb, 1);

	prb->node = node;
	bus_attach(node->bus, MSG_TASK_PROBE, &prb_ops, prb);
	return prb;
}

void prb_free(struct prb *prb)
{
	g_free(prb);
}
