#include "tgt_pool.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

struct tgt_pool {
	struct crl *crl;
	GHashTable *fds;  /* endpoints as text to socket */
	GHashTable *ends; /* socket to the key in fds */
};

static char *format_endpoints(const struct tgt_endpoints *ends)
{
	return g_strdup_printf("%s:%d %s:%d", ends->local_ip, ends->local_port,
			       ends->ip, ends->port);
}

static curl_socket_t open_socket(void *arg, curlsocktype purpose,
				 struct curl_sockaddr *address)
{
	curl_socket_t *fd = arg;

	(void)purpose;
	*fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
		     address->protocol);
	return *fd;
}

static int close_socket(void *arg, curl_socket_t fd)
{
	struct tgt_pool *pool = arg;
	const char *ends = g_hash_table_lookup(pool->ends, GINT_TO_POINTER(fd));

	if (ends)
		g_hash_table_remove(pool->fds, ends);
	g_hash_table_remove(pool->ends, GINT_TO_POINTER(fd));
	return close(fd);
}

struct tgt_pool *tgt_pool_new(struct ev_loop *loop, long connections)
{
	struct tgt_pool *pool = g_new0(struct tgt_pool, 1);

	pool->crl = crl_new(loop, connections);
	pool->fds =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	pool->ends = g_hash_table_new(NULL, NULL);
	return pool;
}

void tgt_pool_free(struct tgt_pool *pool)
{
	if (!pool)
		return;
	crl_free(pool->crl);
	g_hash_table_unref(pool->ends);
	g_hash_table_unref(pool->fds);
	g_free(pool);
}

struct crl *tgt_pool_crl(const struct tgt_pool *pool)
{
	return pool->crl;
}

void tgt_pool_attach(struct tgt_pool *pool, CURL *easy, curl_socket_t *fd)
{
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, fd);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, pool);
}

void tgt_pool_register(struct tgt_pool *pool, const struct tgt_endpoints *ends,
		       curl_socket_t fd)
{
	char *text = format_endpoints(ends);

	g_hash_table_replace(pool->fds, text, GINT_TO_POINTER(fd));
	g_hash_table_insert(pool->ends, GINT_TO_POINTER(fd), text);
}

bool tgt_pool_is_idle(const struct tgt_pool *pool,
		      const struct tgt_endpoints *ends, curl_socket_t *fd)
{
	g_autofree char *text = format_endpoints(ends);
	void *value;

	if (!g_hash_table_lookup_extended(pool->fds, text, NULL, &value))
		return false;
	*fd = GPOINTER_TO_INT(value);
	return !net_is_readable(*fd);
}

/* Bytes that arrive between the two calls count as read. */
int64_t tgt_pool_bytes_read(curl_socket_t fd)
{
	struct tcp_info info;
	socklen_t size = sizeof(info);
	int unread;

	if (ioctl(fd, SIOCINQ, &unread) ||
	    getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) ||
	    size < offsetof(struct tcp_info, tcpi_bytes_received) +
			    sizeof(info.tcpi_bytes_received))
		return -1;
	return (int64_t)info.tcpi_bytes_received - unread;
}
