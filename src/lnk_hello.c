#include "lnk_hello.h"

#include <string.h>
#include <sys/random.h>

#include "msg_codec.h"

static int append(void *data, const char *buf, size_t size)
{
	g_byte_array_append(data, (const guint8 *)buf, (guint)size);
	return 0;
}

static void begin(struct msg_writer *w, GByteArray *out, enum lnk_kind kind,
		  size_t members)
{
	uint8_t byte = (uint8_t)kind;

	g_byte_array_append(out, &byte, 1);
	msgpack_packer_init(&w->packer, out, append);
	msgpack_pack_array(&w->packer, members);
}

static void put_fixed_bytes(struct msg_writer *w, const uint8_t *data,
			    size_t size)
{
	msgpack_pack_bin(&w->packer, size);
	msgpack_pack_bin_body(&w->packer, data, size);
}

void lnk_nonce_fill(uint8_t nonce[LNK_NONCE_SIZE])
{
	if (getrandom(nonce, LNK_NONCE_SIZE, 0) != LNK_NONCE_SIZE)
		g_error("getrandom failed to fill the handshake nonce");
}

void lnk_hello_write(const struct lnk_hello *hello, GByteArray *out)
{
	struct msg_writer w;

	begin(&w, out, LNK_HELLO, 5);
	msg_put_text(&w, hello->name);
	msg_put_u64(&w, hello->incarnation);
	msg_put_u64(&w, hello->serial);
	msg_put_u64(&w, hello->to);
	put_fixed_bytes(&w, hello->nonce, LNK_NONCE_SIZE);
}

void lnk_challenge_write(const struct lnk_challenge *challenge, GByteArray *out)
{
	struct msg_writer w;

	begin(&w, out, LNK_CHALLENGE, 4);
	msg_put_text(&w, challenge->name);
	msg_put_u64(&w, challenge->incarnation);
	put_fixed_bytes(&w, challenge->nonce, LNK_NONCE_SIZE);
	put_fixed_bytes(&w, challenge->mac, SIG_SIZE);
}

void lnk_proof_write(const uint8_t mac[SIG_SIZE], GByteArray *out)
{
	struct msg_writer w;

	begin(&w, out, LNK_PROOF, 1);
	put_fixed_bytes(&w, mac, SIG_SIZE);
}

static void get_name(struct msg_reader *r, char out[FS_NAME_MAX])
{
	g_autofree char *name = msg_get_text(r);

	if (!name || !*name || strlen(name) >= FS_NAME_MAX)
		r->malformed = true;
	else
		g_strlcpy(out, name, FS_NAME_MAX);
}

static void get_fixed_bytes(struct msg_reader *r, uint8_t *out, size_t size)
{
	GBytes *bytes = msg_get_bytes(r);

	if (!bytes || g_bytes_get_size(bytes) != size)
		r->malformed = true;
	else
		memcpy(out, g_bytes_get_data(bytes, NULL), size);
	g_clear_pointer(&bytes, g_bytes_unref);
}

static void read_hello(struct msg_reader *r, void *out)
{
	struct lnk_hello *hello = out;

	get_name(r, hello->name);
	hello->incarnation = msg_get_u64(r, UINT64_MAX);
	hello->serial = msg_get_u64(r, UINT64_MAX);
	hello->to = msg_get_u64(r, UINT64_MAX);
	get_fixed_bytes(r, hello->nonce, LNK_NONCE_SIZE);
}

static void read_challenge(struct msg_reader *r, void *out)
{
	struct lnk_challenge *challenge = out;

	get_name(r, challenge->name);
	challenge->incarnation = msg_get_u64(r, UINT64_MAX);
	get_fixed_bytes(r, challenge->nonce, LNK_NONCE_SIZE);
	get_fixed_bytes(r, challenge->mac, SIG_SIZE);
}

static void read_proof(struct msg_reader *r, void *out)
{
	get_fixed_bytes(r, out, SIG_SIZE);
}

/* Unpacks the array of a handshake frame and decodes its members by @p read. */
static int read_frame(const uint8_t *data, size_t size,
		      void (*read)(struct msg_reader *r, void *out), void *out)
{
	msgpack_unpacked unpacked;
	struct msg_reader r = {.malformed = true};
	size_t at = 0;

	if (!msg_scan(data, size))
		return FS_E_PROTOCOL;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, (const char *)data, size, &at) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    unpacked.data.type == MSGPACK_OBJECT_ARRAY) {
		r.next = unpacked.data.via.array.ptr;
		r.left = unpacked.data.via.array.size;
		r.malformed = false;
		read(&r, out);
	}
	msgpack_unpacked_destroy(&unpacked);
	return r.malformed || r.left ? FS_E_PROTOCOL : 0;
}

int lnk_hello_read(const uint8_t *data, size_t size, struct lnk_hello *out)
{
	return read_frame(data, size, read_hello, out);
}

int lnk_challenge_read(const uint8_t *data, size_t size,
		       struct lnk_challenge *out)
{
	return read_frame(data, size, read_challenge, out);
}

int lnk_proof_read(const uint8_t *data, size_t size, uint8_t mac[SIG_SIZE])
{
	return read_frame(data, size, read_proof, mac);
}

/* MAC input of both ends: the label of the end, the HELLO, and the CHALLENGE
 * with a zeroed MAC. */
static GByteArray *mac_input(enum lnk_side side, const struct lnk_hello *hello,
			     const struct lnk_challenge *challenge)
{
	static const char *const labels[] = {
		[LNK_OPENER] = "fescuesaddle link opener",
		[LNK_ACCEPTOR] = "fescuesaddle link acceptor",
	};
	struct lnk_challenge bare = *challenge;
	GByteArray *bytes = g_byte_array_new();

	memset(bare.mac, 0, sizeof(bare.mac));
	g_byte_array_append(bytes, (const guint8 *)labels[side],
			    (guint)strlen(labels[side]) + 1);
	lnk_hello_write(hello, bytes);
	lnk_challenge_write(&bare, bytes);
	return bytes;
}

int lnk_mac(const char *key, enum lnk_side side, const struct lnk_hello *hello,
	    const struct lnk_challenge *challenge, uint8_t out[SIG_SIZE])
{
	g_autoptr(GByteArray) bytes = mac_input(side, hello, challenge);

	return sig_sign(key, bytes->data, bytes->len, out);
}

bool lnk_mac_verify(const char *key, enum lnk_side side,
		    const struct lnk_hello *hello,
		    const struct lnk_challenge *challenge,
		    const uint8_t mac[SIG_SIZE])
{
	g_autoptr(GByteArray) bytes = mac_input(side, hello, challenge);

	return sig_verify(key, bytes->data, bytes->len, mac);
}
