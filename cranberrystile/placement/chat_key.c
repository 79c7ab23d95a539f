#include "cranberrystile/chat_key.h"

#include "common/hash.h"

static uint64_t
scope_seed (cs_str_t organisation, cs_str_t offering)
{
  return cs_hash (offering, cs_hash (organisation, 0));
}

uint64_t
cs_chat_key_by_id (cs_str_t organisation, cs_str_t offering,
                   cs_str_t conversation)
{
  return cs_hash (conversation, scope_seed (organisation, offering));
}

uint64_t
cs_chat_key_by_text (cs_str_t organisation, cs_str_t offering,
                     cs_str_t first_turns)
{
  /* An extra round of hashing separates texts from equal conversation ids.  */
  uint64_t seed = cs_hash_pair (scope_seed (organisation, offering), 1);
  return cs_hash (first_turns, seed);
}
