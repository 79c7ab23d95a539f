#include "daemon/link.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#define NONCE_BYTES 16
#define PROOF_BYTES 32
#define SEND_TIMEOUT_S 1
#define HANDSHAKE_TIMEOUT_S 2

struct cs_link
{
  int fd;
  bool dialled;
  atomic_int refs;
  atomic_bool closed;
  atomic_ullong last_received;
  pthread_mutex_t write_lock; /* serialises frames; a leaf lock */
  cs_host_t host;
  cs_counters_t *counters;
};

/* HMAC-SHA256 over the role, both nonces and the prover's identity.  */
static void
make_proof (cs_str_t key, const char *role, const uint8_t *first_nonce,
            const uint8_t *second_nonce, const Cs__Peer__Host *host,
            uint8_t out[PROOF_BYTES])
{
  cs_buf_t text = { 0 };
  cs_str_t first = { (const char *)first_nonce, NONCE_BYTES };
  cs_str_t second = { (const char *)second_nonce, NONCE_BYTES };
  unsigned int len = PROOF_BYTES;
  cs_buf_printf (&text, "%s|%llu|%s|%s|%s|%s|", role,
                 (unsigned long long)host->id, host->name, host->data_centre,
                 host->peer_address, host->caller_address);
  cs_buf_append (&text, first);
  cs_buf_append (&text, second);
  HMAC (EVP_sha256 (), key.data, (int)key.len,
        (const unsigned char *)text.data, text.len, out, &len);
  cs_buf_free (&text);
}

static bool
verify_proof (const ProtobufCBinaryData *proof, const uint8_t *expected)
{
  return proof->len == PROOF_BYTES
         && CRYPTO_memcmp (proof->data, expected, PROOF_BYTES) == 0;
}

static cs_link_t *
create_link (int fd, bool dialled, cs_counters_t *counters)
{
  cs_link_t *link = calloc (1, sizeof *link);
  struct timeval send_timeout = { SEND_TIMEOUT_S, 0 };
  struct timeval handshake_timeout = { HANDSHAKE_TIMEOUT_S, 0 };
  int on = 1;
  if (link == NULL)
    {
      close (fd);
      return NULL;
    }
  link->fd = fd;
  link->dialled = dialled;
  link->counters = counters;
  atomic_store (&link->refs, 1);
  atomic_store (&link->last_received, cs_clock_now ());
  pthread_mutex_init (&link->write_lock, NULL);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &send_timeout, sizeof send_timeout);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &handshake_timeout,
              sizeof handshake_timeout);
  return link;
}

/* After the handshake, reads block until the connection ends or cs_link_close
   is called.  */
static void
disable_read_timeout (const cs_link_t *link)
{
  struct timeval none = { 0, 0 };
  setsockopt (link->fd, SOL_SOCKET, SO_RCVTIMEO, &none, sizeof none);
}

static void
fill_host (Cs__Peer__Host *out, const cs_host_t *host)
{
  cs__peer__host__init (out);
  out->id = host->id;
  out->name = (char *)host->name.text;
  out->data_centre = (char *)host->data_centre.text;
  out->peer_address = (char *)host->peer_address.text;
  out->caller_address = (char *)host->caller_address.text;
}

static void
copy_peer_host (cs_link_t *link, const Cs__Peer__Host *host)
{
  link->host.id = host->id;
  cs_name_set (&link->host.name, cs_str (host->name));
  cs_name_set (&link->host.data_centre, cs_str (host->data_centre));
  cs_name_set (&link->host.peer_address, cs_str (host->peer_address));
  cs_name_set (&link->host.caller_address, cs_str (host->caller_address));
}

/* Reads the next frame of the handshake.  Returns NULL on failure, and sets
 *REJECTED if the frame is bad or not of kind BODY.  */
static cs_frame_t *
expect_frame (cs_link_t *link, Cs__Peer__Frame__BodyCase body, bool *rejected)
{
  cs_frame_t *frame;
  uint64_t bytes = 0;
  int rc
      = cs_frame_read (link->fd, CS_FRAME_MAX_UNAUTHENTICATED, &frame, &bytes);
  cs_counters_add (link->counters, CS_COUNTER_PEER_BYTES_IN, bytes);
  if (rc == CS_ERR_BAD_FRAME)
    *rejected = true;
  if (rc != 0)
    return NULL;
  if (frame->body_case == body)
    return frame;
  *rejected = true;
  cs_frame_free (frame);
  return NULL;
}

static int
send_hello (cs_link_t *link, cs_str_t key, const cs_host_t *self,
            const uint8_t *peer_nonce, uint8_t *own_nonce)
{
  uint8_t proof[PROOF_BYTES];
  Cs__Peer__Host host;
  Cs__Peer__Hello hello;
  cs_frame_t frame;
  fill_host (&host, self);
  make_proof (key, "dial", peer_nonce, own_nonce, &host, proof);
  cs__peer__hello__init (&hello);
  hello.host = &host;
  hello.nonce.data = own_nonce;
  hello.nonce.len = NONCE_BYTES;
  hello.proof.data = proof;
  hello.proof.len = PROOF_BYTES;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_HELLO;
  frame.hello = &hello;
  return cs_link_send (link, &frame);
}

static bool
dial_handshake (cs_link_t *link, cs_str_t key, const cs_host_t *self,
                bool *rejected)
{
  uint8_t nonce[NONCE_BYTES];
  uint8_t expected[PROOF_BYTES];
  cs_frame_t *welcome = NULL;
  bool success = false;
  cs_frame_t *challenge
      = expect_frame (link, CS__PEER__FRAME__BODY_CHALLENGE, rejected);
  if (challenge == NULL || RAND_bytes (nonce, NONCE_BYTES) != 1)
    goto out;
  const uint8_t *peer_nonce = challenge->challenge->nonce.data;
  if (send_hello (link, key, self, peer_nonce, nonce) != 0)
    goto out;
  welcome = expect_frame (link, CS__PEER__FRAME__BODY_WELCOME, rejected);
  if (welcome == NULL)
    goto out;
  make_proof (key, "accept", nonce, peer_nonce, welcome->welcome->host,
              expected);
  success = verify_proof (&welcome->welcome->proof, expected);
  *rejected = !success;
  if (success)
    copy_peer_host (link, welcome->welcome->host);
out:
  cs_frame_free (challenge);
  cs_frame_free (welcome);
  return success;
}

static int
send_challenge (cs_link_t *link, uint8_t *nonce)
{
  Cs__Peer__Challenge challenge;
  cs_frame_t frame;
  if (RAND_bytes (nonce, NONCE_BYTES) != 1)
    return CS_ERR_INTERNAL;
  cs__peer__challenge__init (&challenge);
  challenge.nonce.data = nonce;
  challenge.nonce.len = NONCE_BYTES;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_CHALLENGE;
  frame.challenge = &challenge;
  return cs_link_send (link, &frame);
}

static int
send_welcome (cs_link_t *link, cs_str_t key, const cs_host_t *self,
              const uint8_t *peer_nonce, const uint8_t *own_nonce)
{
  uint8_t proof[PROOF_BYTES];
  Cs__Peer__Host host;
  Cs__Peer__Welcome welcome;
  cs_frame_t frame;
  fill_host (&host, self);
  make_proof (key, "accept", peer_nonce, own_nonce, &host, proof);
  cs__peer__welcome__init (&welcome);
  welcome.host = &host;
  welcome.proof.data = proof;
  welcome.proof.len = PROOF_BYTES;
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_WELCOME;
  frame.welcome = &welcome;
  return cs_link_send (link, &frame);
}

static bool
accept_handshake (cs_link_t *link, cs_str_t key, const cs_host_t *self,
                  bool *rejected)
{
  uint8_t nonce[NONCE_BYTES];
  uint8_t expected[PROOF_BYTES];
  bool success = false;
  if (send_challenge (link, nonce) != 0)
    return false;
  cs_frame_t *hello
      = expect_frame (link, CS__PEER__FRAME__BODY_HELLO, rejected);
  if (hello == NULL)
    return false;
  make_proof (key, "dial", nonce, hello->hello->nonce.data, hello->hello->host,
              expected);
  success = verify_proof (&hello->hello->proof, expected);
  *rejected = !success;
  if (success)
    {
      copy_peer_host (link, hello->hello->host);
      success = send_welcome (link, key, self, hello->hello->nonce.data, nonce)
                == 0;
    }
  cs_frame_free (hello);
  return success;
}

cs_link_t *
cs_link_dial (int fd, cs_str_t fleet_key, const cs_host_t *self,
              cs_counters_t *counters, bool *rejected)
{
  cs_link_t *link = create_link (fd, true, counters);
  *rejected = false;
  if (link == NULL)
    return NULL;
  if (!dial_handshake (link, fleet_key, self, rejected))
    {
      cs_link_unref (link);
      return NULL;
    }
  disable_read_timeout (link);
  return link;
}

cs_link_t *
cs_link_accept (int fd, cs_str_t fleet_key, const cs_host_t *self,
                cs_counters_t *counters, bool *rejected)
{
  cs_link_t *link = create_link (fd, false, counters);
  *rejected = false;
  if (link == NULL)
    return NULL;
  if (!accept_handshake (link, fleet_key, self, rejected))
    {
      cs_link_unref (link);
      return NULL;
    }
  disable_read_timeout (link);
  return link;
}

cs_link_t *
cs_link_ref (cs_link_t *link)
{
  atomic_fetch_add (&link->refs, 1);
  return link;
}

void
cs_link_unref (cs_link_t *link)
{
  if (link == NULL || atomic_fetch_sub (&link->refs, 1) > 1)
    return;
  close (link->fd);
  pthread_mutex_destroy (&link->write_lock);
  free (link);
}

const cs_host_t *
cs_link_host (const cs_link_t *link)
{
  return &link->host;
}

bool
cs_link_is_dialled (const cs_link_t *link)
{
  return link->dialled;
}

static int
send_all (int fd, cs_str_t bytes)
{
  while (bytes.len > 0)
    {
      ssize_t sent = send (fd, bytes.data, bytes.len, MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return CS_ERR_CUT;
      bytes.data += sent;
      bytes.len -= (size_t)sent;
    }
  return 0;
}

int
cs_link_send (cs_link_t *link, const cs_frame_t *frame)
{
  cs_buf_t packed = { 0 };
  int rc = cs_frame_pack (frame, &packed);
  if (rc != 0)
    goto out;
  pthread_mutex_lock (&link->write_lock);
  rc = atomic_load (&link->closed) ? CS_ERR_CUT
                                   : send_all (link->fd, cs_buf_str (&packed));
  pthread_mutex_unlock (&link->write_lock);
  if (rc != 0)
    cs_link_close (link);
  else
    cs_counters_add (link->counters, CS_COUNTER_PEER_BYTES_OUT, packed.len);
out:
  cs_buf_free (&packed);
  return rc;
}

int
cs_link_read (cs_link_t *link, cs_frame_t **frame)
{
  uint64_t bytes = 0;
  int rc = cs_frame_read (link->fd, CS_FRAME_MAX, frame, &bytes);
  cs_counters_add (link->counters, CS_COUNTER_PEER_BYTES_IN, bytes);
  if (rc == 0)
    atomic_store (&link->last_received, cs_clock_now ());
  return rc;
}

void
cs_link_close (cs_link_t *link)
{
  atomic_store (&link->closed, true);
  shutdown (link->fd, SHUT_RDWR);
}

cs_time_us_t
cs_link_last_received (const cs_link_t *link)
{
  return atomic_load (&link->last_received);
}
