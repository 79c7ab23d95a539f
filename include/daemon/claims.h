/* Claims in the platform, for requests that may not be repeated.  Decisions
   are those of cranberrystile/claim.h.  Thread-safe.  */

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
  char name[65];
  char version[64];
  cs_claim_t claim;
} cs_held_claim_t;

/* PLATFORM may be NULL: then every claim fails with CS_ERR_PLATFORM_DOWN.  */
cs_claims_t *cs_claims_create (const cs_settings_t *settings,
                               cs_platform_t *platform, cs_members_t *members,
                               cs_counters_t *counters);
void cs_claims_destroy (cs_claims_t *claims);

/* Claims KEY of ORGANISATION for the request with this hash.  Returns
   0: the request may be run, and HELD is to be ended by cs_claims_finish;
   CS_OK with *STORED set: HELD->claim holds the answer of an earlier run;
   an error: the request is not run by us.
   Free HELD in each case.  */
int cs_claims_begin (cs_claims_t *claims, cs_str_t organisation, cs_str_t key,
                     const char *request_sha256, cs_held_claim_t *held,
                     bool *stored);

/* Records how the run ended.  Content type and body are those of the answer
   when STATE is CS_CLAIM_DONE.  What cannot be recorded at once is tried again
   in the background for a while.  */
void cs_claims_finish (cs_claims_t *claims, cs_held_claim_t *held,
                       cs_claim_state_t state, int status,
                       cs_str_t content_type, cs_str_t body);
void cs_held_claim_free (cs_held_claim_t *held);

#endif
