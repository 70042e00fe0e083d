#include "crl.h"

#include "fs_err.h"

/** One socket that libcurl waits on. */
struct crl_socket {
	ev_io io;
	struct crl *crl;
};

/** One transfer in progress; kept in CURLOPT_PRIVATE. */
struct crl_transfer {
	crl_done_fn done;
	void *arg;
};

struct crl {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	GHashTable *transfers; /* CURL * to struct crl_transfer * */
	GHashTable *sockets;   /* struct crl_socket * */
};

/* A finished transfer is removed from the multi handle before its callback
 * runs, so that the callback may free the easy handle or start it again. */
static void reap(struct crl *crl)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(crl->multi, &left))) {
		CURL *easy = m->easy_handle;
		CURLcode code = m->data.result;
		struct crl_transfer *t;
		crl_done_fn done;
		void *arg;

		if (m->msg != CURLMSG_DONE)
			continue;
		t = g_hash_table_lookup(crl->transfers, easy);
		curl_multi_remove_handle(crl->multi, easy);
		if (!t)
			continue;
		done = t->done;
		arg = t->arg;
		g_hash_table_remove(crl->transfers, easy);
		done(arg, easy, code);
	}
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct crl *crl = timer->data;
	int running;

	(void)events;
	ev_timer_stop(loop, timer);
	curl_multi_socket_action(crl->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	reap(crl);
}

static void on_socket(struct ev_loop *loop, ev_io *io, int events)
{
	struct crl_socket *s = (struct crl_socket *)io;
	struct crl *crl = s->crl;
	int flags = ((events & EV_READ) ? CURL_CSELECT_IN : 0) |
		    ((events & EV_WRITE) ? CURL_CSELECT_OUT : 0);
	int running;

	(void)loop;
	curl_multi_socket_action(crl->multi, io->fd, flags, &running);
	reap(crl);
}

static void socket_free(void *data)
{
	struct crl_socket *s = data;

	ev_io_stop(s->crl->loop, &s->io);
	g_free(s);
}

static int watch_socket(CURL *easy, curl_socket_t fd, int what, void *arg,
			void *socket_arg)
{
	struct crl *crl = arg;
	struct crl_socket *s = socket_arg;
	int events = ((what & CURL_POLL_IN) ? EV_READ : 0) |
		     ((what & CURL_POLL_OUT) ? EV_WRITE : 0);

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (s)
			g_hash_table_remove(crl->sockets, s);
		curl_multi_assign(crl->multi, fd, NULL);
		return 0;
	}
	if (!s) {
		s = g_new0(struct crl_socket, 1);
		s->crl = crl;
		ev_init(&s->io, on_socket);
		g_hash_table_add(crl->sockets, s);
		curl_multi_assign(crl->multi, fd, s);
	}
	ev_io_stop(crl->loop, &s->io);
	ev_io_set(&s->io, fd, events);
	ev_io_start(crl->loop, &s->io);
	return 0;
}

static int watch_timer(CURLM *multi, long timeout_ms, void *arg)
{
	struct crl *crl = arg;

	(void)multi;
	ev_timer_stop(crl->loop, &crl->timer);
	if (timeout_ms >= 0) {
		ev_timer_set(&crl->timer, (double)timeout_ms / 1000.0, 0.0);
		ev_timer_start(crl->loop, &crl->timer);
	}
	return 0;
}

struct crl *crl_new(struct ev_loop *loop, long connections)
{
	struct crl *crl = g_new0(struct crl, 1);

	crl->loop = loop;
	crl->multi = curl_multi_init();
	crl->transfers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	crl->sockets = g_hash_table_new_full(NULL, NULL, socket_free, NULL);
	ev_init(&crl->timer, on_timer);
	crl->timer.data = crl;
	curl_multi_setopt(crl->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
	curl_multi_setopt(crl->multi, CURLMOPT_SOCKETDATA, crl);
	curl_multi_setopt(crl->multi, CURLMOPT_TIMERFUNCTION, watch_timer);
	curl_multi_setopt(crl->multi, CURLMOPT_TIMERDATA, crl);
	curl_multi_setopt(crl->multi, CURLMOPT_MAXCONNECTS, connections);
	curl_multi_setopt(crl->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	return crl;
}

void crl_free(struct crl *crl)
{
	GHashTableIter iter;
	void *easy;

	if (!crl)
		return;
	g_hash_table_iter_init(&iter, crl->transfers);
	while (g_hash_table_iter_next(&iter, &easy, NULL))
		curl_multi_remove_handle(crl->multi, easy);
	curl_multi_cleanup(crl->multi);
	ev_timer_stop(crl->loop, &crl->timer);
	g_hash_table_unref(crl->transfers);
	g_hash_table_unref(crl->sockets);
	g_free(crl);
}

struct ev_loop *crl_loop(const struct crl *crl)
{
	return crl->loop;
}

int crl_start(struct crl *crl, CURL *easy, crl_done_fn done, void *arg)
{
	struct crl_transfer *t = g_new0(struct crl_transfer, 1);

	t->done = done;
	t->arg = arg;
	g_hash_table_insert(crl->transfers, easy, t);
	if (curl_multi_add_handle(crl->multi, easy) != CURLM_OK) {
		g_hash_table_remove(crl->transfers, easy);
		return FS_E_NO_MEMORY;
	}
	return 0;
}

void crl_stop(struct crl *crl, CURL *easy)
{
	if (g_hash_table_remove(crl->transfers, easy))
		curl_multi_remove_handle(crl->multi, easy);
}

void crl_wake(struct crl *crl)
{
	ev_timer_stop(crl->loop, &crl->timer);
	ev_timer_set(&crl->timer, 0.0, 0.0);
	ev_timer_start(crl->loop, &crl->timer);
}
