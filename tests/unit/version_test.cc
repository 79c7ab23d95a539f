// Software versions of targets: their history, the versions of streams, and
// both as objects of the platform's store.

#include <map>
#include <string>

#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "cranberrystile/stream_table.h"
#include "cranberrystile/version_history.h"
#include "platform/streams.h"
}

namespace
{

const cs_time_us_t SECOND = CS_US_PER_S;

size_t
count_at (const cs_version_history_t &history, uint64_t service,
          cs_time_us_t now)
{
  uint64_t version;
  return cs_version_history_count (&history, service, now, &version);
}

// A version that is gone still has streams, which callers may take up.
TEST (VersionHistory, GoneVersionCountsWhileItsStreamsLast)
{
  cs_version_history_t history = {};
  cs_version_seen_t old_one = { 1, 10, 100 * SECOND, false, 0, 0 };
  cs_version_seen_t new_one = { 1, 11, 120 * SECOND, false, 0, 0 };
  cs_version_seen_t elsewhere = { 2, 12, 120 * SECOND, false, 0, 0 };
  EXPECT_TRUE (cs_version_history_see (&history, &old_one, 100 * SECOND));
  EXPECT_TRUE (cs_version_history_see (&history, &new_one, 120 * SECOND));
  EXPECT_TRUE (cs_version_history_see (&history, &elsewhere, 120 * SECOND));
  EXPECT_FALSE (cs_version_history_see (&history, &new_one, 120 * SECOND));
  EXPECT_EQ (count_at (history, 1, 129 * SECOND), 2U);
  EXPECT_EQ (count_at (history, 1, 131 * SECOND), 1U);
  EXPECT_EQ (count_at (history, 3, 121 * SECOND), 0U);
  EXPECT_FALSE (cs_version_history_see (&history, &old_one, 140 * SECOND));
  EXPECT_TRUE (cs_version_history_has (&history, 11, 150 * SECOND - 1));
  EXPECT_FALSE (cs_version_history_has (&history, 11, 150 * SECOND));
  cs_version_history_expire (&history, 140 * SECOND);
  EXPECT_EQ (history.count, 2U);
}

// A version that came back as its streams were over, before that was noticed,
// was taken for the one that had been there: its streams were not recorded.
TEST (VersionHistory, OneThatComesBackAfterItsStreamsIsNew)
{
  cs_version_history_t history = {};
  cs_version_seen_t seen = { 1, 10, 100 * SECOND, false, 0, 0 };
  EXPECT_TRUE (cs_version_history_see (&history, &seen, 100 * SECOND));
  cs_version_history_set_base (&history, 10);
  EXPECT_TRUE (cs_version_history_has (&history, 10, 129 * SECOND));
  EXPECT_FALSE (cs_version_history_has (&history, 10, 130 * SECOND));
  seen.seen_at = 130 * SECOND;
  EXPECT_TRUE (cs_version_history_see (&history, &seen, 130 * SECOND));
  EXPECT_FALSE (cs_version_history_is_base (&history, 10));
  EXPECT_FALSE (cs_version_history_see (&history, &seen, 131 * SECOND));
  EXPECT_EQ (history.count, 1U);
}

TEST (VersionHistory, FullOneForgetsTheLeastRecentlySeen)
{
  cs_version_history_t history = {};
  for (uint64_t i = 0; i <= CS_VERSION_HISTORY_MAX; i++)
    {
      cs_version_seen_t seen = { 1, 1000 + i, 100 * SECOND + i, false, 0, 0 };
      EXPECT_TRUE (cs_version_history_see (&history, &seen, 101 * SECOND));
    }
  EXPECT_EQ (history.count, size_t (CS_VERSION_HISTORY_MAX));
  // Streams that nobody recorded may be of the one that is forgotten.
  EXPECT_TRUE (cs_version_history_lacks (&history, 130 * SECOND));
  EXPECT_FALSE (cs_version_history_lacks (&history, 132 * SECOND));
  EXPECT_FALSE (cs_version_history_has (&history, 1000, 101 * SECOND));
  EXPECT_TRUE (cs_version_history_has (&history, 1001, 101 * SECOND));
}

// A base version with few targets left does not decide where streams go on.
TEST (VersionHistory, BaseIsMainWhileHalfOfTheTargetsHaveIt)
{
  cs_version_history_t history = {};
  for (uint64_t version : { 10, 11 })
    {
      cs_version_seen_t seen = { 1, version, 100 * SECOND, false, 0, 0 };
      cs_version_history_see (&history, &seen, 100 * SECOND);
    }
  EXPECT_EQ (cs_version_history_base (&history, 1, 101 * SECOND), 0U);
  cs_version_history_set_base (&history, 11);
  cs_version_history_set_base (&history, 10);
  cs_version_history_set_base (&history, 12);
  EXPECT_EQ (cs_version_history_base (&history, 1, 101 * SECOND), 10U);
  EXPECT_TRUE (cs_version_history_is_base (&history, 10));
  EXPECT_FALSE (cs_version_history_is_base (&history, 11));
  auto main_with = [&] (int of_base, int of_other) {
    cs_version_history_reset_targets (&history);
    for (int i = 0; i < of_base; i++)
      cs_version_history_count_target (&history, 10);
    for (int i = 0; i < of_other; i++)
      cs_version_history_count_target (&history, 11);
    return cs_version_history_main_base (&history, 1, 101 * SECOND);
  };
  EXPECT_EQ (main_with (2, 1), 10U);
  EXPECT_EQ (main_with (2, 2), 10U);
  EXPECT_EQ (main_with (2, 3), 0U);
  EXPECT_EQ (main_with (0, 0), 0U);
  EXPECT_EQ (cs_version_history_base (&history, 1, 131 * SECOND), 0U);
}

// Two records of one stream that disagree must not decide where it goes on.
TEST (StreamTable, DisagreeingRecordsMakeAStreamAmbiguous)
{
  cs_stream_table_t *table = cs_stream_table_create ();
  cs_stream_record_t first = { 5, 10, 20 * SECOND, 0, false };
  cs_stream_record_t second = { 5, 11, 30 * SECOND, 0, false };
  EXPECT_EQ (cs_stream_table_merge (table, &first, 1), CS_OK);
  EXPECT_EQ (cs_stream_table_find (table, 5, 1)->version, 10U);
  EXPECT_EQ (cs_stream_table_merge (table, &second, 1), CS_OK);
  EXPECT_EQ (cs_stream_table_find (table, 5, 1)->version,
             uint64_t (CS_STREAM_VERSION_AMBIGUOUS));
  EXPECT_EQ (cs_stream_table_find (table, 5, 30 * SECOND), nullptr);
  EXPECT_EQ (cs_stream_table_put (table, &second, 1), CS_OK);
  EXPECT_EQ (cs_stream_table_find (table, 5, 1)->version, 11U);
  cs_stream_table_destroy (table);
}

TEST (StreamTable, FullOneTakesStreamsAgainWhenOthersAreOver)
{
  cs_stream_table_t *table = cs_stream_table_create ();
  for (uint64_t i = 0; i < CS_STREAM_TABLE_MAX; i++)
    {
      cs_stream_record_t record = { i, 10, 20 * SECOND, 0, false };
      ASSERT_EQ (cs_stream_table_put (table, &record, 1), CS_OK);
    }
  cs_stream_record_t more = { CS_STREAM_TABLE_MAX, 10, 40 * SECOND, 0, false };
  EXPECT_EQ (cs_stream_table_put (table, &more, 1), CS_ERR_OVERLOADED);
  EXPECT_EQ (cs_stream_table_put (table, &more, 21 * SECOND), CS_OK);
  EXPECT_EQ (cs_stream_table_count (table), 1U);
  cs_stream_table_destroy (table);
}

using Streams = std::map<uint64_t, uint64_t>;

void
collect (void *context, uint64_t stream, uint64_t version)
{
  (*static_cast<Streams *> (context))[stream] = version;
}

// Parses TEXT, an object of the store, and calls READ with it.
template <typename F>
void
with_object (const std::string &text, F read)
{
  std::string list
      = "{\"items\":[" + text + "],\"truncated\":false,\"current_rev\":9}";
  cs_store_page_t page;
  cs_store_object_t object;
  ASSERT_EQ (cs_store_read_list ({ list.data (), list.size () }, 1, &page),
             CS_OK);
  ASSERT_TRUE (cs_store_next_object (&page, &object)) << text;
  read (object);
  cs_store_page_release (&page);
}

TEST (StreamObjects, StreamsAreReadAsTheyWereWritten)
{
  cs_stream_table_t *table = cs_stream_table_create ();
  Streams expected = { { 1, 0xffffffffffffffffULL - 1 },
                       { 0xfedcba9876543210ULL, 77 },
                       { 3, 77 } };
  for (const auto &entry : expected)
    {
      cs_stream_record_t record
          = { entry.first, entry.second, SECOND, 0, false };
      cs_stream_table_put (table, &record, 1);
    }
  cs_stream_record_t ambiguous
      = { 4, CS_STREAM_VERSION_AMBIGUOUS, SECOND, 0, false };
  cs_stream_table_put (table, &ambiguous, 1);
  cs_buf_t text = {};
  ASSERT_EQ (
      cs_store_write_streams (cs_str ("router-1"), table, 1234, true, &text),
      CS_OK);
  Streams read;
  bool is_partial = false;
  with_object (std::string (text.data, text.len), [&] (auto &object) {
    EXPECT_EQ (cs_store_read_streams (&object, collect, &read, &is_partial),
               1234U);
    EXPECT_TRUE (is_partial);
    EXPECT_FALSE (cs_store_is_versions (&object));
  });
  EXPECT_EQ (read, expected);
  cs_buf_free (&text);
  cs_stream_table_destroy (table);
}

// Another writer's members must not take the sound ones along.
TEST (StreamObjects, UnreadableMembersAreLeftOut)
{
  Streams read;
  bool is_partial = true;
  with_object (
      R"({"metadata":{"name":"router-2"},"spec":{"until_ms":9,"streams":{
        "7":"0000000000000001","000000000000000g":"0000000000000002",
        "000000000000000a":"0000000000000003zzzzzzzzzzzzzzzz00",
        "000000000000000b":7,"000000000000000c":[[]]}}})",
      [&] (auto &object) {
        EXPECT_EQ (
            cs_store_read_streams (&object, collect, &read, &is_partial), 9U);
        EXPECT_FALSE (is_partial);
      });
  EXPECT_EQ (read, (Streams{ { 3, 10 } }));
  with_object (R"({"metadata":{"name":"versions"},"spec":{"versions":[
        {"service":"0000000000000001","version":"0000000000000002"},
        {"service":1,"version":"0000000000000002","seen_ms":0},7,
        {"service":"0000000000000001","version":"0000000000000002",
         "seen_ms":-1},
        {"service":"0000000000000001","version":"0000000000000003",
         "seen_ms":5}]}})",
               [&] (auto &object) {
                 cs_store_version_t versions[4];
                 ASSERT_TRUE (cs_store_is_versions (&object));
                 ASSERT_EQ (cs_store_read_versions (&object, versions, 4), 1U);
                 EXPECT_EQ (versions[0].version, 3U);
                 EXPECT_EQ (versions[0].seen_ms, 5U);
               });
}

TEST (StreamObjects, VersionsAreReadAsTheyWereWritten)
{
  cs_store_version_t written[] = { { 1, 2, 0, false }, { 1, 3, 99, true } };
  cs_store_version_t read[4];
  cs_buf_t text = {};
  ASSERT_EQ (cs_store_write_versions (written, 2, &text), CS_OK);
  with_object (std::string (text.data, text.len), [&] (auto &object) {
    ASSERT_EQ (cs_store_read_versions (&object, read, 4), 2U);
    EXPECT_EQ (cs_store_read_versions (&object, read, 1), 1U);
  });
  EXPECT_EQ (read[1].service, 1U);
  EXPECT_EQ (read[0].version, 2U);
  EXPECT_FALSE (read[0].is_base);
  EXPECT_TRUE (read[1].is_base);
  cs_buf_free (&text);
}

}
