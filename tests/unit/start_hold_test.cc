// Requests that are held while a router starts.

#include <algorithm>
#include <deque>
#include <random>

#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "cranberrystile/start_hold.h"
}

namespace
{

const size_t MEMORY = 160 << 20;
const cs_time_us_t LIMIT = 1500 * CS_US_PER_MS;
const cs_time_us_t CHECK = 5 * CS_US_PER_MS;

struct Kind
{
  uint32_t rank;
  cs_time_us_t caller_ms;
  size_t body_bytes;
} kinds[] = { { 0, 1500, 20000 }, { 1, 600, 1000 }, { 2, 6000, 90000 } };

uint32_t
rank_of (const cs_held_request_t *held)
{
  return static_cast<const Kind *> (held->owner)->rank;
}

size_t run, left, beyond; // of all routers

struct Router
{
  cs_start_hold_t hold;
  cs_start_phase_t phase = CS_START_LEARNING;
  std::deque<cs_held_request_t> requests;

  void
  arrive (Kind *kind, cs_time_us_t now)
  {
    bool fits
        = hold.count < 256 && hold.bytes + kind->body_bytes <= MEMORY / 16;
    requests.push_back ({ kind, now, kind->caller_ms * CS_US_PER_MS,
                          kind->body_bytes, false, 0, 0, nullptr, nullptr });
    EXPECT_EQ (cs_start_hold_add (&hold, &requests.back (), now),
               now >= LIMIT ? CS_ERR_NOT_READY
               : fits       ? CS_OK
                            : CS_ERR_OVERLOADED);
    beyond += !fits;
  }

  void
  check (cs_time_us_t now)
  {
    cs_start_hold_verdict_t verdict;
    size_t bytes = 0;
    for (const cs_held_request_t &request : requests)
      bytes += request.is_held ? request.body_bytes : 0;
    EXPECT_EQ (hold.bytes, bytes);
    std::pair<uint32_t, cs_time_us_t> last = { 0, 0 };
    while (cs_held_request_t *request
           = cs_start_hold_next (&hold, phase, now, &verdict))
      {
        cs_time_us_t waited = now - request->arrived_at;
        auto next = std::make_pair (rank_of (request), request->arrived_at);
        bool is_over = now >= LIMIT || waited >= request->caller_us / 8;
        bool runs = verdict == CS_START_HOLD_RUN;
        EXPECT_EQ (runs, phase == CS_START_READY && !is_over);
        EXPECT_TRUE (is_over || phase != CS_START_LEARNING);
        EXPECT_LT (waited, request->caller_us / 8 + CHECK);
        EXPECT_TRUE (!runs || last <= next);
        last = runs ? next : last;
        run += runs;
      }
  }
};

// Each router refused all that came before it was ready.  What it holds must
// neither exceed its memory nor use up its callers' time.
TEST (StartHold, AllRoutersStartWhileAllCallersReturn)
{
  std::mt19937 random (1);
  for (cs_time_us_t i = 0; i < 33; i++)
    {
      Router router;
      cs_start_hold_init (&router.hold, 0, LIMIT, MEMORY, rank_of);
      for (cs_time_us_t now = 0; now < LIMIT + CHECK; now += CS_US_PER_MS)
        {
          // Those that were refused before return within 150 ms, up to
          // 2,500 to one router.
          bool all = now < 150 * CS_US_PER_MS;
          if (now >= (100 + 50 * i) * CS_US_PER_MS)
            router.phase = i % 10 == 0 ? CS_START_STOPPING : CS_START_READY;
          for (size_t n = random () % (all ? 2 + i : 2);
               n > 0 && router.phase == CS_START_LEARNING; n--)
            router.arrive (&kinds[random () % 3], now);
          if (random () % 20 == 0 && !router.requests.empty ())
            left += cs_start_hold_remove (&router.hold,
                                          &router.requests.back ());
          if (now % CHECK == 0)
            router.check (now);
        }
      EXPECT_EQ (router.hold.count, 0U);
    }
  EXPECT_GT (std::min ({ run, left, beyond }), 0U);
}

}
