#include "net.h"
#include "tgt_impl.h"

bool tgt_written(const struct tgt *tgt)
{
	return tgt->written;
}

bool tgt_reused(const struct tgt *tgt)
{
	return tgt->reused;
}

/* Notifies the owner, once, which may free the exchange. */
static void finish(struct tgt *tgt, int err)
{
	struct tgt_result result = {
		.err = err,
		.written = tgt->written,
		.headers_complete = tgt->headers_complete,
		.framing = tgt_framing(tgt),
		.body_bytes = tgt->received,
		.bytes_behind = tgt->bytes_behind,
	};
	int64_t until_us = tgt->headers_complete ? tgt->headers_at_us :
						   fs_now_us();

	result.reused = tgt_reused(tgt);
	result.took_us = until_us - tgt->started_us;
	tgt->ended = true;
	ev_timer_stop(crl_loop(tgt->crl), &tgt->timer);
	tgt->ops->done(tgt->arg, tgt, &result);
}

/* Bytes behind the end show that the answer exceeds its declared length. */
static bool has_trailing_bytes(struct tgt *tgt)
{
	curl_socket_t fd = CURL_SOCKET_BAD;

	if (!tgt->chunked && tgt->raw_received > tgt->received)
		return true;
	curl_easy_getinfo(tgt->easy, CURLINFO_ACTIVESOCKET, &fd);
	return fd != CURL_SOCKET_BAD && net_unread_bytes(fd) > 0;
}

static int check_complete(struct tgt *tgt)
{
	if (tgt->invalid || !tgt->headers_complete)
		return FS_E_ANSWER_INVALID;
	if (tgt_has_body(tgt) && !tgt->chunked && tgt->received < tgt->length)
		return FS_E_TRUNCATED;
	/* libcurl and tgt_chunks see the same end. */
	if (tgt_framing(tgt) == TGT_FRAMING_CHUNKS &&
	    tgt->chunks.part != TGT_CHUNKS_ENDED)
		return FS_E_ANSWER_INVALID;
	if (tgt->dialect)
		return 0;
	return has_trailing_bytes(tgt) ? FS_E_ANSWER_INVALID : 0;
}

static int error_of(const struct tgt *tgt, CURLcode code)
{
	if (!tgt->written)
		return tgt->past_deadline ? FS_E_DEADLINE : FS_E_CONNECT;
	if (tgt->invalid)
		return FS_E_ANSWER_INVALID;
	switch (code) {
	case CURLE_PARTIAL_FILE:
		return FS_E_TRUNCATED;
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_UNSUPPORTED_PROTOCOL:
	case CURLE_BAD_CONTENT_ENCODING:
		return FS_E_ANSWER_INVALID;
	case CURLE_OPERATION_TIMEDOUT:
		return FS_E_DEADLINE;
	default:
		return tgt->headers_complete ? FS_E_TRUNCATED :
					       FS_E_TARGET_RESET;
	}
}

static void on_done(void *arg, CURL *easy, CURLcode code)
{
	struct tgt *tgt = arg;

	if (tgt->connection_stale && !tgt->written) {
		tgt->connection_stale = false;
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		if (!crl_start(tgt->crl, easy, on_done, tgt))
			return;
	}
	/* What the head says holds, also if the body is cut. */
	if (tgt->body_unneeded)
		finish(tgt, 0);
	else
		finish(tgt, code == CURLE_OK ? check_complete(tgt) :
					       error_of(tgt, code));
}

/* Returns whether the connection may be written to. */
static bool is_usable(struct tgt *tgt, const struct tgt_endpoints *ends)
{
	long connects = 0;

	curl_easy_getinfo(tgt->easy, CURLINFO_NUM_CONNECTS, &connects);
	tgt->reused = connects == 0;
	if (!tgt->reused)
		tgt_pool_register(tgt->pool, ends, tgt->fd);
	else
		tgt->connection_stale =
			!tgt_pool_is_idle(tgt->pool, ends, &tgt->fd);
	return !tgt->connection_stale;
}

/* libcurl calls this just before it writes the request. */
static int on_before_write(void *arg, char *ip, char *local_ip, int port,
			   int local_port)
{
	struct tgt *tgt = arg;
	struct tgt_endpoints ends = {
		.ip = ip,
		.local_ip = local_ip,
		.port = port,
		.local_port = local_port,
	};

	if (tgt->written)
		return CURL_PREREQFUNC_ABORT;
	tgt->past_deadline = fs_now_us() >= tgt->deadline_us;
	if (tgt->past_deadline || !is_usable(tgt, &ends))
		return CURL_PREREQFUNC_ABORT;
	tgt->written = true;
	tgt->read_before = net_bytes_read(tgt->fd);
	return CURL_PREREQFUNC_OK;
}

/* An answer whose buffer is empty is always read on, so that none waits forever. */
static bool may_buffer(struct tgt *tgt, size_t bytes)
{
	size_t sum = tgt->buffer.bytes + bytes;
	bool may = tgt->ops->may_buffer ?
			   tgt->ops->may_buffer(tgt->arg, tgt, sum) :
			   sum <= FS_ANSWER_WINDOW;

	return may || !tgt->streaming || !tgt->buffer.bytes;
}

static size_t on_body(char *data, size_t size, size_t n, void *arg)
{
	struct tgt *tgt = arg;
	size_t bytes = size * n;

	if (tgt->invalid)
		return 0;
	if (tgt->body_unneeded) {
		tgt->received += (int64_t)bytes;
		return bytes;
	}
	if (!may_buffer(tgt, bytes)) {
		tgt->paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	tgt->received += (int64_t)bytes;
	tgt_body_append(&tgt->buffer, data, bytes);
	if (tgt->streaming) {
		tgt->ops->body_available(tgt->arg, tgt);
	} else if (tgt->buffer.bytes > FS_ANSWER_WHOLE_MAX) {
		tgt->streaming = true;
		tgt->ops->stream_started(tgt->arg, tgt);
	}
	return bytes;
}

static bool is_framing_excessive(const struct tgt *tgt)
{
	return tgt->chunked &&
	       tgt->raw_received - tgt->received >
		       TGT_FRAMING_BYTES_MAX +
			       TGT_FRAMING_PER_BYTE_MAX * tgt->received;
}

void tgt_forbid_reuse(struct tgt *tgt)
{
	curl_easy_setopt(tgt->easy, CURLOPT_FORBID_REUSE, 1L);
}

static void note_bytes_behind(struct tgt *tgt)
{
	tgt->bytes_behind = true;
	tgt_forbid_reuse(tgt);
}

void tgt_check_end_of_headers(struct tgt *tgt)
{
	int64_t read = net_bytes_read(tgt->fd);
	int64_t behind = read - tgt->read_before - (int64_t)tgt->header_bytes;

	/* The kernel counts the end of the stream as a byte. */
	if (read < 0 || tgt->read_before < 0 || behind < 0 || behind == 1)
		tgt_forbid_reuse(tgt);
	else if (behind)
		note_bytes_behind(tgt);
}

static void check_end_of_body(struct tgt *tgt, const char *data, size_t size)
{
	bool is_whole = true;

	if (tgt->chunked)
		is_whole = tgt_chunks_read(&tgt->chunks, data, size) == size;
	else if (tgt->length >= 0)
		is_whole = tgt->raw_received <= tgt->length;
	if (tgt->chunks.part == TGT_CHUNKS_MALFORMED)
		tgt->invalid = true;
	else if (!is_whole)
		note_bytes_behind(tgt);
}

/* Counts every byte behind the header fields, also those that libcurl discards. Only
 * the timer can stop a transfer that gives nothing to its callbacks. */
static int on_debug(CURL *easy, curl_infotype type, char *data, size_t size,
		    void *arg)
{
	struct tgt *tgt = arg;
	bool was_invalid = tgt->invalid;

	(void)easy;
	if (type != CURLINFO_DATA_IN)
		return 0;
	tgt->raw_received += (int64_t)size;
	check_end_of_body(tgt, data, size);
	if (is_framing_excessive(tgt))
		tgt->invalid = true;
	if (tgt->invalid && !was_invalid)
		tgt_set_timer(tgt, fs_now_us());
	return 0;
}

/* Returns when the exchange is over, whatever has arrived. */
static int64_t end_us(const struct tgt *tgt)
{
	if (tgt->invalid)
		return 0;
	if (tgt->body_unneeded)
		return MIN(tgt->headers_at_us + TGT_UNNEEDED_BODY_MAX_US,
			   tgt->deadline_us);
	return tgt->deadline_us;
}

/* One timer serves all limits: the header fields, then the end. */
void tgt_set_timer(struct tgt *tgt, int64_t now_us)
{
	struct ev_loop *loop = crl_loop(tgt->crl);
	int64_t until_us = tgt->headers_complete ?
				   end_us(tgt) :
				   MIN(tgt->headers_deadline_us, end_us(tgt));

	ev_timer_stop(loop, &tgt->timer);
	ev_timer_set(&tgt->timer, (double)MAX(until_us - now_us, 0) / 1e6, 0.0);
	ev_timer_start(loop, &tgt->timer);
}

/* Waits a turn of the loop, in which libcurl reads what has arrived. */
static bool waits_a_turn(struct tgt *tgt)
{
	if (tgt->invalid || tgt->body_unneeded ||
	    tgt->late_turns == TGT_LATE_TURNS_MAX || !tgt_has_unread(tgt))
		return false;
	tgt->late_turns++;
	ev_timer_set(&tgt->timer, 0.0, 0.0);
	ev_timer_start(crl_loop(tgt->crl), &tgt->timer);
	return true;
}

/* Returns how an exchange ends that a time limit stops. */
static int time_limit_err(const struct tgt *tgt, int64_t now_us)
{
	/* What the head says holds, also if the body is malformed. */
	if (tgt->body_unneeded)
		return 0;
	if (tgt->invalid)
		return FS_E_ANSWER_INVALID;
	return tgt->written || now_us >= tgt->deadline_us ? FS_E_DEADLINE :
							    FS_E_CONNECT;
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct tgt *tgt = timer->data;
	int64_t now_us = fs_now_us();

	(void)loop;
	(void)events;
	if (waits_a_turn(tgt))
		return;
	tgt->late_turns = 0;
	if (now_us < end_us(tgt) && !tgt->headers_complete &&
	    now_us >= tgt->headers_deadline_us &&
	    !tgt->ops->headers_overdue(tgt->arg, tgt))
		tgt->headers_deadline_us = tgt->deadline_us;
	if (now_us < end_us(tgt) &&
	    (tgt->headers_complete || now_us < tgt->headers_deadline_us)) {
		tgt_set_timer(tgt, now_us);
		return;
	}
	crl_stop(tgt->crl, tgt->easy);
	finish(tgt, time_limit_err(tgt, now_us));
}

static void set_options(struct tgt *tgt, const struct tgt_request *request,
			int64_t now_us)
{
	CURL *easy = tgt->easy;
	int64_t left_us = request->deadline_us - now_us;
	int64_t connect_max_us = request->dialect ?
					 request->dialect->connect_us :
					 TGT_CONNECT_MAX_US;
	int64_t connect_us = MIN(connect_max_us, left_us / 2);
	bool fresh = !request->repeatable || request->new_connection;

	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, fresh ? 1L : 0L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE,
			 request->repeatable ? 0L : 1L);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
			 request->dialect ? request->dialect->idle_s :
					    (long)FS_POOL_IDLE_AGE_S);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)MAX(connect_us / FS_US_PER_MS, 1));
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_write);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, tgt);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, tgt_read_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, tgt);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, tgt);
	curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, on_debug);
	curl_easy_setopt(easy, CURLOPT_DEBUGDATA, tgt);
	curl_easy_setopt(easy, CURLOPT_VERBOSE, 1L);
}

struct tgt *tgt_start(struct tgt_pool *pool, const struct tgt_request *request,
		      const struct tgt_ops *ops, void *arg, int64_t now_us)
{
	struct tgt *tgt = g_new0(struct tgt, 1);

	tgt->pool = pool;
	tgt->crl = tgt_pool_crl(pool);
	tgt->easy = curl_easy_init();
	tgt_pool_attach(pool, tgt->easy, &tgt->fd);
	tgt->id = g_strdup(request->id);
	tgt->dialect = request->dialect;
	tgt->ops = ops;
	tgt->arg = arg;
	tgt->started_us = now_us;
	tgt->deadline_us = request->deadline_us;
	tgt->headers_deadline_us = request->headers_deadline_us;
	tgt->length = -1;
	tgt->header_bytes_max = TGT_HEADER_BYTES_MAX;
	if (request->header_bytes_max)
		tgt->header_bytes_max =
			MIN(request->header_bytes_max, TGT_HEADER_BYTES_MAX);
	tgt->headers = msg_headers_new();
	ev_init(&tgt->timer, on_timer);
	tgt->timer.data = tgt;
	set_options(tgt, request, now_us);
	tgt_write_request(tgt, request, now_us);
	if (crl_start(tgt->crl, tgt->easy, on_done, tgt)) {
		tgt->ended = true;
		tgt_free(tgt);
		return NULL;
	}
	tgt_set_timer(tgt, now_us);
	return tgt;
}

bool tgt_free(struct tgt *tgt)
{
	bool written = tgt->written;

	if (!tgt->ended)
		crl_stop(tgt->crl, tgt->easy);
	ev_timer_stop(crl_loop(tgt->crl), &tgt->timer);
	curl_easy_cleanup(tgt->easy);
	curl_slist_free_all(tgt->fields);
	g_clear_pointer(&tgt->headers, g_array_unref);
	tgt_body_clear(&tgt->buffer);
	g_bytes_unref(tgt->body);
	g_free(tgt->id);
	g_free(tgt);
	return written;
}

bool tgt_has_unread(const struct tgt *tgt)
{
	/* libcurl tells the socket only after the transfer. */
	return tgt->written && !tgt->ended && !tgt->paused &&
	       net_is_readable(tgt->fd);
}

uint32_t tgt_status(const struct tgt *tgt)
{
	return tgt->status;
}

GArray *tgt_peek_headers(struct tgt *tgt)
{
	return g_array_ref(tgt->headers);
}

GArray *tgt_steal_headers(struct tgt *tgt)
{
	GArray *headers = tgt->headers;

	tgt->headers = msg_headers_new();
	return headers;
}

bool tgt_draining(const struct tgt *tgt)
{
	return tgt->draining;
}

int64_t tgt_length(const struct tgt *tgt)
{
	if (!tgt->no_body && !tgt_has_body(tgt))
		return 0;
	return tgt->length;
}

GBytes *tgt_read_body(struct tgt *tgt, size_t max)
{
	size_t size = MIN(max, tgt->buffer.bytes);
	char *data = g_malloc(size);

	return g_bytes_new_take(data, tgt_copy_body(tgt, data, size));
}

size_t tgt_copy_body(struct tgt *tgt, char *out, size_t max)
{
	return tgt_body_take(&tgt->buffer, out, max);
}

size_t tgt_buffered_bytes(const struct tgt *tgt)
{
	return tgt->buffer.bytes;
}

void tgt_resume(struct tgt *tgt)
{
	if (tgt->ended || !tgt->paused)
		return;
	tgt->paused = false;
	curl_easy_pause(tgt->easy, CURLPAUSE_CONT);
	crl_wake(tgt->crl);
}
