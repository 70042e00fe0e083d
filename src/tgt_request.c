#include <stdio.h>
#include <string.h>

#include "tgt_impl.h"

/* Hop-by-hop fields, and fields that only the fleet may set. */
static const char *const reserved_fields[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Proxy-Authenticate",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
	"Expect",
	"Host",
};

bool tgt_is_hop_by_hop(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(reserved_fields); i++) {
		if (!g_ascii_strcasecmp(name, reserved_fields[i]))
			return true;
	}
	return !g_ascii_strncasecmp(name, "Fescuesaddle-", 13);
}

static bool is_value(const char *text)
{
	for (; *text; text++) {
		if (((unsigned char)*text < 0x20 && *text != '\t') ||
		    *text == 0x7f)
			return false;
	}
	return true;
}

static bool is_target(const char *text)
{
	if (!text || (*text != '/' && strcmp(text, "*")))
		return false;
	for (; *text; text++) {
		if ((unsigned char)*text <= 0x20 || *text == 0x7f)
			return false;
	}
	return true;
}

bool tgt_request_valid(const struct msg_request *m)
{
	if (!msg_is_token(m->method) || !is_target(m->target) || !m->body ||
	    (m->host && !is_value(m->host)))
		return false;
	for (guint i = 0; m->headers && i < m->headers->len; i++) {
		const struct msg_header *h =
			&g_array_index(m->headers, struct msg_header, i);

		if (!msg_is_token(h->name) || !h->value || !is_value(h->value))
			return false;
	}
	return true;
}

static void add_field(struct tgt *tgt, const char *name, const char *value)
{
	g_autofree char *line = *value ?
					g_strdup_printf("%s: %s", name, value) :
					g_strdup_printf("%s;", name);

	tgt->fields = curl_slist_append(tgt->fields, line);
}

/* In libcurl, a name with a colon and no value suppresses its default field. */
static void suppress_field(struct tgt *tgt, const char *line)
{
	tgt->fields = curl_slist_append(tgt->fields, line);
}

static void add_fields(struct tgt *tgt, const struct msg_request *m)
{
	for (guint i = 0; m->headers && i < m->headers->len; i++) {
		const struct msg_header *h =
			&g_array_index(m->headers, struct msg_header, i);

		if (!tgt_is_hop_by_hop(h->name))
			add_field(tgt, h->name, h->value);
	}
	if (!msg_headers_get(m->headers, "Accept"))
		suppress_field(tgt, "Accept:");
	if (!msg_headers_get(m->headers, "Content-Type"))
		suppress_field(tgt, "Content-Type:");
	suppress_field(tgt, "Expect:");
}

static void set_method(struct tgt *tgt, const struct msg_request *m)
{
	CURL *easy = tgt->easy;
	gsize size;
	const char *data = g_bytes_get_data(m->body, &size);

	if (!strcmp(m->method, "HEAD")) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
		tgt->no_body = true;
		return;
	}
	if (size || !strcmp(m->method, "POST") || !strcmp(m->method, "PUT") ||
	    !strcmp(m->method, "PATCH")) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)size);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, data ? data : "");
	} else {
		curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, m->method);
}

void tgt_write_request(struct tgt *tgt, const struct tgt_request *request,
		       int64_t now_us)
{
	const struct msg_request *m = request->m;
	g_autofree char *url = g_strdup_printf("http://%s/", request->address);
	int64_t left_us = MAX(request->deadline_us - now_us, 0);
	const struct tgt_dialect *d = request->dialect;
	char left_ms[24];

	snprintf(left_ms, sizeof(left_ms), "%lld",
		 (long long)(left_us / FS_US_PER_MS));
	tgt->body = g_bytes_ref(m->body);
	curl_easy_setopt(tgt->easy, CURLOPT_URL, url);
	curl_easy_setopt(tgt->easy, CURLOPT_REQUEST_TARGET, m->target);
	set_method(tgt, m);
	add_field(tgt, "Host",
		  m->host && *m->host ? m->host : request->address);
	add_fields(tgt, m);
	add_field(tgt, d ? d->request_id : "Fescuesaddle-Request", tgt->id);
	add_field(tgt, d ? d->deadline_ms : "Fescuesaddle-Deadline-Ms",
		  left_ms);
	curl_easy_setopt(tgt->easy, CURLOPT_HTTPHEADER, tgt->fields);
}
