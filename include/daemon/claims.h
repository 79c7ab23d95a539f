/* Claims stored in the platform, by which a request with an idempotency key is
   executed at most once.  The decisions are made by cranberrystile/claim.h.
   Thread-safe.  */

#ifndef CS_DAEMON_CLAIMS_H
#define CS_DAEMON_CLAIMS_H

#include "api/client.h"
#include "cranberrystile/claim.h"
#include "cranberrystile/counters.h"
#include "daemon/members.h"
#include "daemon/settings.h"

typedef struct cs_claims cs_claims_t;

/* A claim that this router holds.  */
typedef struct
{
  char name[65];    /* of the object in the platform */
  char version[64]; /* its resource version */
  cs_claim_t claim;
} cs_held_claim_t;

/* If PLATFORM is NULL, every claim fails with CS_ERR_PLATFORM_DOWN; else a
   background thread is started.  The arguments are borrowed and must outlive
   the result.  Returns NULL on failure.  */
cs_claims_t *cs_claims_create (const cs_settings_t *settings,
                               cs_platform_t *platform, cs_members_t *members,
                               cs_counters_t *counters);
void cs_claims_destroy (cs_claims_t *claims);

/* Claims KEY of ORGANISATION for the request with this hash.  Returns
   0: the request may be executed; call cs_claims_finish with its result;
   0 with *STORED set: HELD->claim holds the response of an earlier request;
   an error: the request must not be executed.
   Free HELD by cs_held_claim_free in each case.  */
int cs_claims_begin (cs_claims_t *claims, cs_str_t organisation, cs_str_t key,
                     const char *request_sha256, cs_held_claim_t *held,
                     bool *stored);

/* Records the result of the request.  STATUS, CONTENT_TYPE and BODY are those
   of the response if STATE is CS_CLAIM_DONE.  If the platform is
   unreachable or limits the rate, the write is retried in the background for
   up to claim_ttl_s.  HELD remains to be freed.  */
void cs_claims_finish (cs_claims_t *claims, cs_held_claim_t *held,
                       cs_claim_state_t state, int status,
                       cs_str_t content_type, cs_str_t body);
void cs_held_claim_free (cs_held_claim_t *held);

#endif
