// Which requests and parts of prompts are blocked after targets have crashed
// under them.

#include <list>
#include <map>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "common/hash.h"
#include "cranberrystile/fingerprint.h"
#include "cranberrystile/quarantine.h"
}

namespace
{

const uint64_t shared = 0xa;
const uint64_t other = 0xb;
const uint64_t bad = 0xbad;

class Quarantine : public testing::Test
{
protected:
  Quarantine ()
  {
    policy = cs_quarantine_policy_default ();
    quarantine = cs_quarantine_create (&policy, on_blocked, this);
  }

  ~Quarantine () override { cs_quarantine_destroy (quarantine); }

  static void
  on_blocked (void *context, uint64_t part, bool is_blocked, uint32_t crashes)
  {
    static_cast<Quarantine *> (context)->changes.push_back (
        { part, is_blocked });
  }

  // The list is borrowed from the fixture.
  cs_id_list_t
  parts (const std::vector<uint64_t> &ids)
  {
    lists.push_back (ids);
    return { lists.back ().data (), (uint32_t)ids.size (), 0 };
  }

  static void
  announce (void *context, const cs_part_time_t *served)
  {
    static_cast<Quarantine *> (context)->announced.push_back (*served);
  }

  // Returns how many parts are to be announced.
  size_t
  serve (cs_quarantine_t *at, const cs_causes_t &answered)
  {
    announced.clear ();
    cs_quarantine_served (at, &answered, now, announce, this);
    return announced.size ();
  }

  size_t
  list_served (const cs_crash_t &report)
  {
    announced.clear ();
    cs_quarantine_list_served (quarantine, &report, now, announce, this);
    return announced.size ();
  }

  cs_causes_t
  causes (const std::vector<uint64_t> &part_ids,
          const std::vector<uint64_t> &requests = {})
  {
    return { parts (requests), parts (part_ids) };
  }

  cs_crash_result_t
  crash (uint64_t target, const std::vector<uint64_t> &part_ids,
         const std::vector<uint64_t> &requests = {})
  {
    cs_crash_t report = { target, causes (part_ids, requests), now };
    return cs_quarantine_add_crash (quarantine, &report, now);
  }

  size_t
  answer (const std::vector<uint64_t> &ids)
  {
    return serve (quarantine, causes (ids));
  }

  bool
  blocks (uint64_t part)
  {
    cs_time_us_t until;
    cs_causes_t one = causes ({ part });
    return cs_quarantine_blocks (quarantine, &one, now, &until);
  }

  bool
  blocks_request (uint64_t request)
  {
    cs_time_us_t until;
    cs_causes_t one = causes ({}, { request });
    return cs_quarantine_blocks (quarantine, &one, now, &until);
  }

  struct Change
  {
    uint64_t part;
    bool is_blocked;
  };

  cs_quarantine_policy_t policy;
  cs_quarantine_t *quarantine;
  cs_time_us_t now = 1000 * CS_US_PER_S;
  std::vector<Change> changes;
  std::vector<cs_part_time_t> announced;
  std::list<std::vector<uint64_t>> lists;
};

TEST_F (Quarantine, BlocksAPartUnderWhichThreeTargetsCrashed)
{
  EXPECT_EQ (crash (1, { bad }), CS_CRASH_NEW);
  EXPECT_EQ (crash (2, { bad }), CS_CRASH_NEW);
  EXPECT_FALSE (blocks (bad));
  EXPECT_EQ (crash (3, { bad }), CS_CRASH_BLOCKED);
  EXPECT_TRUE (blocks (bad));
  ASSERT_EQ (changes.size (), 1U);
  EXPECT_EQ (changes[0].part, bad);
}

// Each router that had requests at a target reports its crash.
TEST_F (Quarantine, CountsACrashOnceHoweverManyRoutersReportIt)
{
  EXPECT_EQ (crash (1, { bad }), CS_CRASH_NEW);
  for (int i = 0; i < 10; i++)
    EXPECT_EQ (crash (1, { bad }), CS_CRASH_KNOWN);
  EXPECT_FALSE (blocks (bad));
}

// The parts that sound requests share were blocked with the bad one.
TEST_F (Quarantine, DoesNotBlockPartsThatWereAnswered)
{
  answer ({ shared, other });
  now += 10 * CS_US_PER_S;
  for (uint64_t target = 1; target <= 3; target++)
    crash (target, { shared, other, bad });
  EXPECT_TRUE (blocks (bad));
  for (uint64_t target = 4; target <= 20; target++)
    crash (target, { shared, other, bad });
  EXPECT_FALSE (blocks (shared));
  EXPECT_FALSE (blocks (other));
}

// A part may have been answered until what it holds met a new engine version.
TEST_F (Quarantine, BlocksAPartThatWasAnsweredAfterFiveCrashes)
{
  answer ({ bad });
  now += 10 * CS_US_PER_S;
  for (uint64_t target = 1; target <= 4; target++)
    EXPECT_EQ (crash (target, { bad }), CS_CRASH_NEW);
  EXPECT_FALSE (blocks (bad));
  EXPECT_EQ (crash (5, { bad }), CS_CRASH_BLOCKED);
}

TEST_F (Quarantine, AnAnswerSinceTheCrashesClearsAPart)
{
  crash (1, { other });
  crash (2, { other });
  now += CS_US_PER_S;
  EXPECT_EQ (answer ({ other }), 1U) << "it is announced to peers";
  EXPECT_EQ (crash (3, { other }), CS_CRASH_NEW);
  EXPECT_FALSE (blocks (other));
}

TEST_F (Quarantine, AnAnswerOfAPeerSinceTheCrashesClearsAPart)
{
  crash (1, { other });
  crash (2, { other });
  now += CS_US_PER_S;
  cs_part_time_t served = { other, now };
  EXPECT_TRUE (cs_quarantine_add_served (quarantine, &served, now));
  EXPECT_FALSE (cs_quarantine_add_served (quarantine, &served, now));
  crash (3, { other });
  EXPECT_FALSE (blocks (other));
}

TEST_F (Quarantine, TellsPeersWhatItAnsweredOfAReport)
{
  cs_crash_t report = { 1, causes ({ other, bad }), now };
  answer ({ other });
  now += 3 * CS_US_PER_S;
  report.at = now;
  cs_quarantine_add_crash (quarantine, &report, now);
  ASSERT_EQ (list_served (report), 1U);
  EXPECT_EQ (announced[0].part, other);
  EXPECT_EQ (list_served (report), 0U);
}

// The crash of a target under a bad part was counted against the requests that
// other routers had at the same target.
TEST_F (Quarantine, DoesNotBlameOthersForCrashesUnderABlockedPart)
{
  for (uint64_t target = 1; target <= 3; target++)
    crash (target, { bad });
  for (uint64_t target = 1; target <= 3; target++)
    EXPECT_EQ (crash (target, { other }), CS_CRASH_KNOWN);
  EXPECT_FALSE (blocks (other));
}

TEST_F (Quarantine, AnAnswerEndsABlock)
{
  for (uint64_t target = 1; target <= 3; target++)
    crash (target, { other });
  EXPECT_TRUE (blocks (other));
  now += CS_US_PER_S;
  answer ({ other });
  EXPECT_FALSE (blocks (other));
}

// A part that was blocked wrongly was blocked for as long as it was asked for.
TEST_F (Quarantine, ABlockEndsAndTheNextCrashBlocksAgainForLonger)
{
  for (uint64_t target = 1; target <= 3; target++)
    crash (target, { bad });
  cs_time_us_t began = now;
  while (now < began + policy.block_us)
    {
      EXPECT_TRUE (blocks (bad));
      now += policy.block_us / 4;
    }
  EXPECT_FALSE (blocks (bad));
  EXPECT_EQ (crash (9, { bad }), CS_CRASH_BLOCKED)
      << "one more crash is enough";
  now += policy.block_us * 2 - 1;
  EXPECT_TRUE (blocks (bad));
  now += 1;
  EXPECT_FALSE (blocks (bad));
}

// On a new route nothing was answered yet: the part that all requests share
// was blocked with the bad one.
TEST_F (Quarantine, BlocksTheLastOfPartsThatAlwaysComeTogether)
{
  for (uint64_t target = 1; target <= 3; target++)
    crash (target, { shared, bad });
  EXPECT_TRUE (blocks (bad));
  EXPECT_FALSE (blocks (shared));
}

// Old reports that a peer repeats on a new connection were counted again.
TEST_F (Quarantine, IgnoresCrashesFromBeforeAnAnswer)
{
  std::vector<cs_crash_t> reports;
  for (uint64_t target = 1; target <= 3; target++)
    {
      reports.push_back ({ target, causes ({ other }), now });
      cs_quarantine_add_crash (quarantine, &reports.back (), now);
      now += CS_US_PER_S;
      answer ({ other });
      now += 100 * CS_US_PER_S;
    }
  for (auto &report : reports)
    EXPECT_EQ (cs_quarantine_add_crash (quarantine, &report, now),
               CS_CRASH_KNOWN);
  EXPECT_FALSE (blocks (other));
}

// The answer came before this router had heard of any crash.
TEST_F (Quarantine, IgnoresCrashesFromBeforeAnAnswerOfItsOwn)
{
  cs_crash_t report = { 1, causes ({ other }), now };
  now += CS_US_PER_S;
  answer ({ other });
  EXPECT_EQ (cs_quarantine_add_crash (quarantine, &report, now),
             CS_CRASH_KNOWN);
}

TEST_F (Quarantine, IgnoresCrashesOfLongAgo)
{
  for (uint64_t target = 1; target <= 3; target++)
    {
      cs_crash_t report
          = { target, causes ({ other }), now - policy.evidence_us - 1 };
      EXPECT_EQ (cs_quarantine_add_crash (quarantine, &report, now),
                 CS_CRASH_KNOWN);
    }
  EXPECT_FALSE (blocks (other));
}

// Two parts that shared an entry displaced each other.
TEST_F (Quarantine, RemembersAnswersOfManyParts)
{
  for (uint64_t i = 0; i < 3; i++)
    answer ({ other + 2048 * i });
  now += 10 * CS_US_PER_S;
  for (uint64_t target = 1; target <= 4; target++)
    crash (target, { other });
  EXPECT_FALSE (blocks (other));
}

TEST_F (Quarantine, ForgetsOldCrashes)
{
  crash (1, { other });
  crash (2, { other });
  now += policy.evidence_us + 1;
  EXPECT_EQ (crash (3, { other }), CS_CRASH_NEW);
}

TEST_F (Quarantine, BelievesAPeerUnlessThePartWasAnswered)
{
  answer ({ other });
  now += CS_US_PER_S;
  cs_part_time_t bad_one = { bad, now };
  cs_part_time_t answered_one = { other, now };
  EXPECT_TRUE (cs_quarantine_block (quarantine, &bad_one, now));
  EXPECT_FALSE (cs_quarantine_block (quarantine, &bad_one, now));
  EXPECT_FALSE (cs_quarantine_block (quarantine, &answered_one, now));
  EXPECT_TRUE (blocks (bad));
  EXPECT_FALSE (blocks (other));
}

// Each router that is told of a block began it anew.
TEST_F (Quarantine, ABlockOfAPeerEndsWithThatOfThePeer)
{
  cs_part_time_t blocked = { bad, now - policy.block_us + CS_US_PER_S };
  EXPECT_TRUE (cs_quarantine_block (quarantine, &blocked, now));
  now += CS_US_PER_S;
  EXPECT_FALSE (blocks (bad));
  EXPECT_FALSE (cs_quarantine_block (quarantine, &blocked, now));
}

TEST_F (Quarantine, KeepsBlockedPartsWhenManyAreSuspected)
{
  for (uint64_t target = 1; target <= 3; target++)
    crash (target, { bad });
  for (uint64_t i = 0; i < 3 * CS_QUARANTINE_SUSPECTS; i++)
    crash (100 + i, { 100000 + i });
  EXPECT_TRUE (blocks (bad));
}

TEST_F (Quarantine, DropsPartsThatWereJustAnswered)
{
  cs_crash_t report = { 1, causes ({ shared, bad }), now };
  answer ({ shared });
  cs_quarantine_drop_answered (quarantine, &report, now);
  ASSERT_EQ (report.causes.parts.count, 1U);
  EXPECT_EQ (report.causes.parts.ids[0], bad);
}

// Parts that sound requests share were blocked with a request that ends its
// targets whatever its parts.
TEST_F (Quarantine, BlocksARequestRatherThanItsParts)
{
  for (uint64_t target = 1; target <= 3; target++)
    crash (target, { shared, other }, { bad });
  EXPECT_TRUE (blocks_request (bad));
  EXPECT_FALSE (blocks (shared));
  EXPECT_FALSE (blocks (other));
  EXPECT_EQ (crash (4, { shared, other }), CS_CRASH_NEW);
  EXPECT_FALSE (blocks (other)) << "the earlier crashes are explained";
}

// A request that was there each time was blocked, and the one that ended the
// targets was not: it was free until three more had ended.
TEST_F (Quarantine, BlocksAllRequestsUnderWhichThreeTargetsCrashed)
{
  for (uint64_t target = 1; target <= 3; target++)
    {
      crash (target, {}, { other });
      crash (target, {}, { bad });
    }
  EXPECT_TRUE (blocks_request (bad));
}

// Requests with a bad part differ, and each ends one target.
TEST_F (Quarantine, BlocksAPartThatDifferentRequestsHave)
{
  for (uint64_t target = 1; target <= 3; target++)
    crash (target, { bad }, { 100 + target });
  EXPECT_TRUE (blocks (bad));
  for (uint64_t target = 1; target <= 3; target++)
    EXPECT_FALSE (blocks_request (100 + target));
}

// A request that many callers send was blocked after crashes that another one
// caused.
TEST_F (Quarantine, DoesNotBlockARequestThatIsAnswered)
{
  for (uint64_t target = 1; target <= 4; target++)
    {
      serve (quarantine, causes ({}, { other }));
      now += 3 * CS_US_PER_S;
      crash (target, {}, { other, bad });
      now += CS_US_PER_S;
    }
  EXPECT_TRUE (blocks_request (bad));
  EXPECT_FALSE (blocks_request (other));
}

// Where many targets crash, the requests of each displaced the one that had
// ended two already.
TEST_F (Quarantine, KeepsSuspectsUnderWhichSeveralCrashed)
{
  crash (1, {}, { bad });
  crash (2, {}, { bad });
  for (uint64_t i = 0; i < 3 * CS_QUARANTINE_SUSPECTS; i++)
    crash (100 + i, {}, { 100000 + i });
  EXPECT_EQ (crash (3, {}, { bad }), CS_CRASH_BLOCKED);
}

// Suspects of long ago were kept before new ones.
TEST_F (Quarantine, SuspectsOfLongAgoGiveWay)
{
  for (uint64_t i = 0; i < CS_QUARANTINE_SUSPECTS; i++)
    {
      crash (1000 + 2 * i, {}, { 100000 + i });
      crash (1001 + 2 * i, {}, { 100000 + i });
    }
  now += policy.evidence_us + 1;
  for (uint64_t target = 1; target <= 3; target++)
    {
      crash (target, {}, { bad });
      crash (10 + target, {}, { 100 + target });
    }
  EXPECT_TRUE (blocks_request (bad));
}

// Targets crash under a bad part and for other reasons, each with requests of
// a few of 300 subjects that are asked for now and then.
TEST_F (Quarantine, FindsTheBadPartAmongOthers)
{
  for (uint64_t seed = 1; seed <= 50; seed++)
    {
      cs_quarantine_t *fleet
          = cs_quarantine_create (&policy, on_blocked, this);
      cs_random_t random = { seed, 0 };
      changes.clear ();
      int crashes_under_bad = 0;
      for (uint64_t step = 0; step < 2000; step++)
        {
          now += 20 * CS_US_PER_MS;
          serve (fleet,
                 causes ({ shared, 1000 + cs_random_u64 (&random) % 300 }));
          if (step % 40 != 0)
            continue;
          bool is_bad = step % 80 == 0 && changes.empty ();
          crashes_under_bad += is_bad;
          std::vector<uint64_t> ids
              = { shared, 1000 + cs_random_u64 (&random) % 300,
                  1000 + cs_random_u64 (&random) % 300 };
          if (is_bad)
            ids.push_back (bad);
          cs_crash_t report = { 10000 + step, causes (ids), now };
          cs_quarantine_drop_answered (fleet, &report, now);
          cs_quarantine_add_crash (fleet, &report, now);
        }
      EXPECT_EQ (crashes_under_bad, 3) << "seed " << seed;
      ASSERT_EQ (changes.size (), 1U) << "seed " << seed;
      EXPECT_EQ (changes[0].part, bad) << "seed " << seed;
      cs_quarantine_destroy (fleet);
    }
}

// Attempts of the same request have different ids and deadlines.
TEST (Fingerprint, TellsRequestsApartByWhatTheyAskFor)
{
  cs_fingerprint_request_t one
      = { cs_str ("POST"), cs_str ("h.example"), cs_str ("/a/2f?x=1"),
          cs_str ("acme"), cs_str ("body") };
  cs_fingerprint_request_t same = one;
  EXPECT_EQ (cs_fingerprint (&one), cs_fingerprint (&same));
  for (cs_str_t cs_fingerprint_request_t::*field :
       { &cs_fingerprint_request_t::method, &cs_fingerprint_request_t::host,
         &cs_fingerprint_request_t::target,
         &cs_fingerprint_request_t::organisation,
         &cs_fingerprint_request_t::body })
    {
      cs_fingerprint_request_t other = one;
      other.*field = cs_str ("other");
      EXPECT_NE (cs_fingerprint (&one), cs_fingerprint (&other));
      other.*field = cs_str ("");
      EXPECT_NE (cs_fingerprint (&one), cs_fingerprint (&other));
    }
  cs_fingerprint_request_t shifted = one;
  shifted.organisation = cs_str ("acmeb");
  shifted.body = cs_str ("ody");
  EXPECT_NE (cs_fingerprint (&one), cs_fingerprint (&shifted));
}

// Only the first 16 parts of a prompt were known, wherever the bad one was.
TEST_F (Quarantine, FindsTheBadPartAmongManyOfAPrompt)
{
  for (size_t before : { 16, 200, 1200, 3000 })
    {
      uint64_t cause = 50000 + before;
      for (uint64_t target = 1; target <= 3; target++)
        {
          std::vector<uint64_t> ids;
          // Sound requests share the parts in front.
          for (uint64_t i = 0; i < before; i++)
            ids.push_back (200000 + i);
          answer (ids);
          now += 3 * CS_US_PER_S;
          ids.push_back (cause);
          // Those behind are of this request alone.
          for (uint64_t i = 0; i < 20; i++)
            ids.push_back (300000 + 1000 * before + 100 * target + i);
          cs_crash_t report = { before + target, causes (ids), now };
          EXPECT_EQ (cs_quarantine_drop_answered (quarantine, &report, now),
                     0U);
          cs_quarantine_add_crash (quarantine, &report, now);
        }
      EXPECT_TRUE (blocks (cause)) << before;
      EXPECT_FALSE (blocks (200000));
      EXPECT_FALSE (blocks (200000 + before - 1));
    }
}

// What a report has no room for is counted.
TEST_F (Quarantine, ReportsTheLastOfTooManyParts)
{
  std::vector<uint64_t> ids;
  for (uint64_t i = 0; i < CS_CRASH_PARTS_MAX + 10; i++)
    ids.push_back (200000 + i);
  cs_crash_t report = { 1, causes (ids), now };
  EXPECT_EQ (cs_quarantine_drop_answered (quarantine, &report, now), 10U);
  ASSERT_EQ (report.causes.parts.count, (uint32_t)CS_CRASH_PARTS_MAX);
  EXPECT_EQ (report.causes.parts.ids[0], 200010U);
}

}
