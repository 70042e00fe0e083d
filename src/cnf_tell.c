#include "cnf_priv.h"
#include "set.h"

/* Tells the membership task where entry VMs may be found. */
static void tell_contacts(struct cnf *cnf, const struct plt_vm *vms,
			  uint32_t count)
{
	struct msg *m =
		msg_new(MSG_CONTACTS, cnf->node->self, MSG_TASK_MEMBERS);

	m->contacts.addresses =
		g_array_new(FALSE, TRUE, sizeof(struct sockaddr_in));
	for (uint32_t i = 0; i < count; i++) {
		struct sockaddr_in address;

		if (!vms[i].entry || vms[i].leaving ||
		    set_parse_address(vms[i].address, &address))
			continue;
		g_array_append_val(m->contacts.addresses, address);
	}
	bus_send(cnf->node->bus, m);
}

static bool is_leaving_target(const struct plt_vm *vm)
{
	return !vm->entry && vm->leaving;
}

static bool same_listed(const GArray *listed, const struct plt_vm *vms,
			uint32_t count)
{
	guint next = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (!is_leaving_target(&vms[i]))
			continue;
		if (next >= listed->len ||
		    !g_str_equal(
			    g_array_index(listed, struct plt_vm, next).name,
			    vms[i].name))
			return false;
		next++;
	}
	return next == listed->len;
}

void cnf_broadcast_set_vms(struct cnf *cnf, const struct plt_vm *vms,
			   uint32_t count)
{
	tell_contacts(cnf, vms, count);
	if (!same_listed(cnf->listed, vms, count))
		cnf->tell_now = true;
	cnf->listed_known = true;
	g_array_set_size(cnf->listed, 0);
	for (uint32_t i = 0; i < count; i++)
		if (is_leaving_target(&vms[i]))
			g_array_append_val(cnf->listed, vms[i]);
}

static void tell(struct cnf *cnf, node_id to, const GPtrArray *names)
{
	struct msg *m = msg_new(MSG_TARGETS_LEAVING, to, MSG_TASK_CONFIG);

	m->targets_leaving.servers = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; names && i < names->len; i++)
		g_ptr_array_add(m->targets_leaving.servers,
				g_strdup(g_ptr_array_index(names, i)));
	bus_send(cnf->node->bus, m);
}

/* Notes who was told names; who no longer is gets empty lists for a while. */
static void note_told(struct cnf *cnf, GHashTable *receivers)
{
	GHashTableIter iter;
	void *key;
	void *left;

	g_hash_table_iter_init(&iter, cnf->told);
	while (g_hash_table_iter_next(&iter, &key, &left)) {
		if (g_hash_table_contains(receivers, key))
			continue;
		tell(cnf, *(node_id *)key, NULL);
		if (GPOINTER_TO_UINT(left) <= 1)
			g_hash_table_iter_remove(&iter);
		else
			g_hash_table_iter_replace(
				&iter,
				GUINT_TO_POINTER(GPOINTER_TO_UINT(left) - 1));
	}
	g_hash_table_iter_init(&iter, receivers);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_hash_table_insert(cnf->told, g_memdup2(key, sizeof(node_id)),
				    GUINT_TO_POINTER(CNF_EMPTY_LIST_REPEATS));
}

static void tell_all(struct cnf *cnf)
{
	const struct cfg *cfg = cnf->store.cfg;
	g_autoptr(GPtrArray) servers = cnf_leaving_servers(
		cfg, (const void *)cnf->listed->data, cnf->listed->len);
	g_autoptr(GHashTable) receivers =
		cnf_leaving_receivers(cfg, cnf->map, cnf->view, servers);
	GHashTableIter iter;
	void *key;
	void *names;

	g_hash_table_iter_init(&iter, receivers);
	while (g_hash_table_iter_next(&iter, &key, &names))
		if (*(node_id *)key != cnf->node->self)
			tell(cnf, *(node_id *)key, names);
	tell(cnf, cnf->node->self, servers);
	note_told(cnf, receivers);
}

void cnf_broadcast_tick(struct cnf *cnf, int64_t now_us)
{
	if (!cnf->watcher || !cnf->listed_known || !cnf->store.cfg)
		return;
	if (!cnf->tell_now && now_us - cnf->told_us < CNF_LEAVING_REFRESH_US)
		return;
	cnf->tell_now = false;
	cnf->told_us = now_us;
	tell_all(cnf);
}

void cnf_broadcast_receive(struct cnf *cnf, const struct msg *m, int64_t now_us)
{
	struct msg *all = msg_new(MSG_TARGETS_LEAVING, cnf->node->self,
				  MSG_TASK_DISPATCH);

	cnf_leaving_update(cnf->leaving, m->from, m->targets_leaving.servers,
			   now_us);
	all->targets_leaving.servers = cnf_leaving_union(cnf->leaving, now_us);
	bus_send(cnf->node->bus, all);
}
