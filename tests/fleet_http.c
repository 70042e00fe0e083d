#include "fleet_http.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "set.h"

static size_t take_body(char *data, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * n));
	return size * n;
}

static void keep_header(const char *line, const char *name, char **out)
{
	size_t length = strlen(name);

	if (g_ascii_strncasecmp(line, name, length) || line[length] != ':')
		return;
	g_free(*out);
	*out = g_strstrip(g_strdup(line + length + 1));
}

static size_t take_header(char *data, size_t size, size_t n, void *arg)
{
	g_autofree char *line = g_strndup(data, size * n);
	struct fleet_answer *a = arg;

	keep_header(line, "Fescuesaddle-Outcome", &a->outcome);
	keep_header(line, "Fescuesaddle-Error", &a->error);
	keep_header(line, "Fescuesaddle-Request", &a->request);
	keep_header(line, "X-Token", &a->token);
	keep_header(line, "Connection", &a->connection);
	return size * n;
}

struct fleet_answer *fleet_http(const char *method, const char *address,
				const char *path, const char *const *headers,
				const char *body, double seconds)
{
	struct fleet_answer *a = g_new0(struct fleet_answer, 1);
	g_autofree char *url = g_strdup_printf("http://%s%s", address, path);
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	CURL *easy = curl_easy_init();

	a->body = g_string_new(NULL);
	for (; headers && *headers; headers++)
		list = curl_slist_append(list, *headers);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_NOBODY,
			 !strcmp(method, "HEAD") ? 1L : 0L);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)(seconds * 1000));
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, a->body);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, a);
	if (body)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	a->whole = curl_easy_perform(easy) == CURLE_OK;
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &a->status);
	curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME, &a->seconds);
	curl_easy_cleanup(easy);
	curl_slist_free_all(list);
	return a;
}

void fleet_answer_free(struct fleet_answer *a)
{
	g_free(a->outcome);
	g_free(a->error);
	g_free(a->request);
	g_free(a->token);
	g_free(a->connection);
	g_string_free(a->body, TRUE);
	g_free(a);
}

JsonNode *fleet_json(const char *address, const char *path)
{
	return fleet_json_within(address, path, 5.0);
}

JsonNode *fleet_json_within(const char *address, const char *path,
			    double seconds)
{
	g_autoptr(FleetAnswer)
		a = fleet_http("GET", address, path, NULL, NULL, seconds);

	if (a->status != 200)
		return NULL;
	return json_from_string(a->body->str, NULL);
}

gint64 fleet_json_int(JsonNode *root, const char *path, gint64 fallback)
{
	g_auto(GStrv) names = g_strsplit(path, ".", 0);
	JsonNode *at = root;

	for (char **name = names; *name; name++) {
		if (!at || !JSON_NODE_HOLDS_OBJECT(at))
			return fallback;
		at = json_object_get_member(json_node_get_object(at), *name);
	}
	return at && JSON_NODE_HOLDS_VALUE(at) ? json_node_get_int(at) :
						 fallback;
}

GString *fleet_raw(const char *address, const void *data, size_t size,
		   double seconds)
{
	GString *in = g_string_new(NULL);
	gint64 end = g_get_monotonic_time() + (gint64)(seconds * 1e6);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in to;

	if (set_parse_address(address, &to) ||
	    connect(fd, (struct sockaddr *)&to, sizeof(to)) ||
	    send(fd, data, size, MSG_NOSIGNAL) < 0) {
		close(fd);
		return in;
	}
	for (;;) {
		struct pollfd p = {.fd = fd, .events = POLLIN};
		gint64 left = end - g_get_monotonic_time();
		char buffer[4096];
		ssize_t n;

		if (left <= 0 || poll(&p, 1, (int)(left / 1000) + 1) <= 0)
			break;
		n = recv(fd, buffer, sizeof(buffer), 0);
		if (n <= 0)
			break;
		g_string_append_len(in, buffer, n);
	}
	close(fd);
	return in;
}
