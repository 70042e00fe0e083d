#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "tgt_impl.h"

#define STATUS_MIN 100
#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_FINAL_MIN 200
#define STATUS_MAX 599

bool tgt_has_body(const struct tgt *tgt)
{
	return !tgt->no_body && tgt->status != 204 && tgt->status != 304;
}

enum tgt_framing tgt_framing(const struct tgt *tgt)
{
	if (!tgt->headers_complete || !tgt_has_body(tgt))
		return TGT_FRAMING_NONE;
	if (tgt->chunked)
		return TGT_FRAMING_CHUNKS;
	return tgt->length >= 0 ? TGT_FRAMING_LENGTH : TGT_FRAMING_CONNECTION;
}

const char *tgt_framing_name(enum tgt_framing framing)
{
	static const char *const names[] = {
		[TGT_FRAMING_NONE] = "none",
		[TGT_FRAMING_LENGTH] = "length",
		[TGT_FRAMING_CHUNKS] = "chunks",
		[TGT_FRAMING_CONNECTION] = "connection",
	};

	return names[framing];
}

/* Digits only: a list, a sign or two different lengths are invalid. */
static void read_length(struct tgt *tgt, const char *value)
{
	char *end;
	int64_t length;

	errno = 0;
	length = g_ascii_strtoll(value, &end, 10);
	if (!g_ascii_isdigit(*value) || *end || errno ||
	    (tgt->length >= 0 && tgt->length != length))
		tgt->invalid = true;
	tgt->length = length;
}

/* Any other coding, or two, end the body elsewhere than the chunks do. HTTP/1.0 has no
 * codings: what a server of it means by one is unknown. */
static void read_transfer_coding(struct tgt *tgt, const char *value)
{
	if (g_ascii_strcasecmp(value, "chunked") != 0 || tgt->chunked ||
	    !tgt->has_codings)
		tgt->invalid = true;
	tgt->chunked = true;
}

/* Rejects an answer to another request, should it arrive on this connection. */
static void read_request_id(struct tgt *tgt, const char *value)
{
	tgt->request_id_matched = !strcmp(value, tgt->id);
	if (!tgt->request_id_matched)
		tgt->invalid = true;
}

static const char *request_id_field(const struct tgt *tgt)
{
	return tgt->dialect ? tgt->dialect->request_id : "Fescuesaddle-Request";
}

/* libcurl takes any line that begins with "HTTP/" for a success. */
static bool is_status_line(const char *line)
{
	return (g_str_has_prefix(line, "HTTP/1.1 ") ||
		g_str_has_prefix(line, "HTTP/1.0 ")) &&
	       g_ascii_isdigit(line[9]) && g_ascii_isdigit(line[10]) &&
	       g_ascii_isdigit(line[11]) && (!line[12] || line[12] == ' ');
}

static void read_field(struct tgt *tgt, const char *name, const char *value)
{
	/* Also a folded line: others might read it as a field of its own. */
	if (!msg_is_token(name))
		tgt->invalid = true;
	if (!g_ascii_strcasecmp(name, "Content-Length"))
		read_length(tgt, value);
	else if (!g_ascii_strcasecmp(name, "Transfer-Encoding"))
		read_transfer_coding(tgt, value);
	else if (!g_ascii_strcasecmp(name, "Draining"))
		tgt->draining = !strcmp(value, "1");
	else if (!g_ascii_strcasecmp(name, request_id_field(tgt)))
		read_request_id(tgt, value);
	if (tgt_is_hop_by_hop(name))
		return;
	if (tgt->headers->len >= TGT_HEADERS_MAX)
		tgt->invalid = true;
	else
		msg_headers_add(tgt->headers, name, value);
}

/* Nobody asks a target for another protocol. */
static bool is_status(uint32_t status)
{
	return status >= STATUS_MIN && status <= STATUS_MAX &&
	       status != STATUS_SWITCHING_PROTOCOLS;
}

/* An informational answer may precede the final one. */
static void begin_answer(struct tgt *tgt, const char *line)
{
	const char *space = strchr(line, ' ');

	tgt->has_codings = g_str_has_prefix(line, "HTTP/1.1 ");
	tgt->status = space ? (uint32_t)strtoul(space + 1, NULL, 10) : 0;
	if (!is_status_line(line) || !is_status(tgt->status))
		tgt->invalid = true;
	tgt->in_head = true;
	tgt->length = -1;
	tgt->chunked = false;
	tgt->request_id_matched = false;
	g_array_set_size(tgt->headers, 0);
}

static void end_header(struct tgt *tgt)
{
	tgt->in_head = false;
	if (tgt->status < STATUS_FINAL_MIN) {
		/* One with a body is no informational answer: what follows is
		 * the body, for which libcurl waits as for a head. */
		tgt->invalid |= tgt->chunked || tgt->length > 0;
		return;
	}
	tgt->headers_complete = true;
	tgt->headers_at_us = fs_now_us();
	if (tgt->chunked && tgt->length >= 0)
		tgt->invalid = true;
	if (tgt_has_body(tgt) && !tgt->chunked && tgt->length < 0 &&
	    !tgt->dialect)
		tgt->invalid = true;
	/* A success that does not name its request, or has no seal, may come
	 * from another server or belong to another request. */
	if (tgt->dialect && tgt->status < 300 &&
	    (!tgt->request_id_matched ||
	     !msg_headers_get(tgt->headers, tgt->dialect->response_seal)))
		tgt->invalid = true;
	/* A second copy of it could not be told from the next answer. */
	if (tgt->dialect && !tgt->request_id_matched)
		tgt_forbid_reuse(tgt);
	if (!tgt_has_body(tgt) || (!tgt->chunked && tgt->length == 0))
		tgt_check_end_of_headers(tgt);
	tgt->body_unneeded = !tgt->invalid && tgt->ops->needs_body &&
			     !tgt->ops->needs_body(tgt->arg, tgt);
	if (tgt->body_unneeded)
		tgt_set_timer(tgt, fs_now_us());
}

/* Returns whether a head was cut inside this line, and another one goes on there. */
static bool has_another_head(const char *line)
{
	while (*line && (line = strstr(line + 1, "HTTP/1."))) {
		if (is_status_line(line))
			return true;
	}
	return false;
}

static bool is_line_end(const char *data, size_t size)
{
	return size == 1 || (size == 2 && *data == '\r');
}

size_t tgt_read_header(char *data, size_t size, size_t n, void *arg)
{
	struct tgt *tgt = arg;
	size_t bytes = size * n;
	g_autofree char *line = g_strndup(data, bytes);
	char *colon;

	tgt->header_bytes += bytes;
	if (tgt->header_bytes > tgt->header_bytes_max || strlen(line) != bytes)
		tgt->invalid = true;
	g_strchomp(line);
	if (tgt->headers_complete) { /* trailer fields are dropped */
		/* The head of a copy may go on in one, and end the answer. */
		if (*line)
			tgt_forbid_reuse(tgt);
		return tgt->invalid ? 0 : bytes;
	}
	if (has_another_head(line))
		tgt->invalid = true;
	colon = strchr(line, ':');
	if (!tgt->in_head) {
		begin_answer(tgt, line);
	} else if (!*line) {
		tgt->invalid |= !is_line_end(data, bytes);
		end_header(tgt);
	} else if (colon) {
		*colon = '\0';
		read_field(tgt, line, g_strstrip(colon + 1));
	} else {
		tgt->invalid = true;
	}
	return tgt->invalid ? 0 : bytes;
}
