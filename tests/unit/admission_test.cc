// What a service that is full still takes.

#include <gtest/gtest.h>

extern "C"
{
#include "cranberrystile/urgency.h"
}

namespace
{

const cs_time_us_t SECOND = CS_US_PER_S;

class Urgency : public testing::Test
{
protected:
  Urgency ()
  {
    target.slots = 10;
    choice.target = &target;
    choice.mean = 10;
  }

  bool
  has_room (uint32_t priority, cs_time_us_t now = 100 * SECOND)
  {
    cs_urgency_seen (&urgency, priority, now);
    return cs_urgency_has_room (&urgency, priority, &choice);
  }

  cs_target_t target = {};
  cs_choice_t choice = {};
  cs_urgency_t urgency = {};
};

TEST_F (Urgency, AFullServiceTakesTheMostUrgentAlone)
{
  EXPECT_TRUE (has_room (3)) << "nothing more urgent is known";
  EXPECT_TRUE (has_room (1));
  EXPECT_FALSE (has_room (3));
  EXPECT_FALSE (has_room (2));
  EXPECT_TRUE (has_room (0));
  EXPECT_FALSE (has_room (1));
}

TEST_F (Urgency, AServiceWithAFreeSlotTakesAll)
{
  has_room (0);
  choice.mean = 9.9;
  EXPECT_TRUE (has_room (9));
}

TEST_F (Urgency, WithoutKnownSlotsNothingIsFull)
{
  has_room (0);
  target.slots = 0;
  EXPECT_TRUE (has_room (9));
}

TEST_F (Urgency, WhatWasUrgentIsForgottenAfterSomeSeconds)
{
  has_room (0, 100 * SECOND);
  EXPECT_FALSE (has_room (1, 104 * SECOND));
  EXPECT_FALSE (has_room (1, 108 * SECOND)) << "the period before counts";
  EXPECT_TRUE (has_room (1, 114 * SECOND));
}

TEST_F (Urgency, AfterAPauseItBeginsAnew)
{
  has_room (0, 100 * SECOND);
  EXPECT_TRUE (has_room (5, 200 * SECOND));
}

}
