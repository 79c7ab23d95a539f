// The daemon's parsers: settings, releases, frames, prompts, load reports. The
// fuzz tests parse random mutations of valid input, drawn from fixed seeds; CI
// also runs them under sanitizers.

#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include <gtest/gtest.h>

extern "C"
{
#include "api/release_store.h"
#include "common/event.h"
#include "common/hash.h"
#include "cranberrystile/claim.h"
#include "cranberrystile/release.h"
#include "daemon/configuration.h"
#include "daemon/frame.h"
#include "daemon/prompt.h"
#include "daemon/settings.h"
#include "daemon/target_call.h"
}

static const int FUZZ_INPUTS = 10000;

static const char good_settings[]
    = "[host]\nname = r1\ndata_centre = north\n"
      "[caller]\nlisten = 127.0.0.1:0\n[operator]\nlisten = 127.0.0.1:0\n"
      "[peer]\nlisten = 127.0.0.1:0\nfleet_key = k\n";

static std::string
settings_error (const std::string &text)
{
  static cs_settings_t settings;
  cs_buf_t reason = {};
  int rc = cs_settings_parse ("f.ini", text.c_str (), &settings, &reason);
  std::string out = rc == 0 ? "" : std::string (reason.data);
  cs_buf_free (&reason);
  return out;
}

TEST (Settings, ValidSettingsPassAndErrorsNameTheLine)
{
  const std::string good = good_settings;
  EXPECT_EQ (settings_error (good), "");
  EXPECT_NE (settings_error (good + "[caller]\nworkers = many\n")
                 .find ("f.ini:12: [caller] workers"),
             std::string::npos);
  EXPECT_NE (settings_error (good + "[caller]\nworkers = 1\n").find ("range"),
             std::string::npos);
  EXPECT_NE (settings_error (good + "[caller]\ncolour = red\n")
                 .find ("not a known setting"),
             std::string::npos);
  EXPECT_NE (settings_error (good + "[moon]\nx = 1\n").find ("[moon] x"),
             std::string::npos);
  EXPECT_NE (
      settings_error (good + "[platform]\naddress = here:1\n").find ("IPv4"),
      std::string::npos);
  EXPECT_NE (settings_error (good + "[host]\nname = r2\n").find ("twice"),
             std::string::npos);
  EXPECT_NE (settings_error ("[host]\nname = r1\n").find ("missing"),
             std::string::npos);
}

static json_t *
load (const char *text)
{
  return json_loads (text, 0, nullptr);
}

static const char base_note[]
    = "{\"added\":{\"organisations\":[{\"name\":\"o\",\"key_sha256\":"
      "\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\"}],"
      "\"offerings\":[{\"name\":\"m\",\"kind\":\"model\"}],"
      "\"targets\":[{\"name\":\"t\",\"offering\":\"m\",\"data_centre\":\"d\","
      "\"address\":\"127.0.0.1:80\"}]}}";

static int
apply (const cs_release_t *base, const char *note_text, cs_release_t **out,
       std::string *why = nullptr)
{
  cs_buf_t reason = {};
  json_t *note = load (note_text);
  *out = nullptr;
  int rc = cs_release_apply (base, note, out, &reason);
  if (why != nullptr && reason.data != nullptr)
    *why = reason.data;
  json_decref (note);
  cs_buf_free (&reason);
  return rc;
}

TEST (Release, NotesAreAppliedAtomically)
{
  cs_release_t *empty = cs_release_create_empty ();
  cs_release_t *one = nullptr;
  cs_release_t *two = nullptr;
  std::string why;
  size_t count;
  ASSERT_EQ (apply (empty, base_note, &one), 0);
  EXPECT_EQ (cs_release_revision (one), 1u);
  cs_release_targets (one, &count);
  EXPECT_EQ (count, 1u);
  EXPECT_EQ (apply (one, base_note, &two), CS_ERR_BAD_RELEASE);
  for (const char *bad :
       { "{}", "{\"moved\":{}}", "{\"withdrawn\":{\"targets\":[\"none\"]}}",
         "{\"withdrawn\":{\"offerings\":[\"m\"]}}",
         "{\"added\":{\"offerings\":[{\"name\":\"x\",\"kind\":\"y\"}]}}",
         "{\"added\":{\"targets\":[{\"name\":\"u\",\"offering\":\"m\","
         "\"data_centre\":\"d\",\"address\":\"host:80\"}]}}",
         "{\"added\":{\"offerings\":[{\"name\":\"x\",\"kind\":\"model\","
         "\"cap_percent\":100}]}}",
         "{\"added\":{\"offerings\":[{\"name\":\"x\",\"kind\":\"model\","
         "\"colour\":1}]}}" })
    {
      EXPECT_EQ (apply (one, bad, &two, &why), CS_ERR_BAD_RELEASE) << bad;
      EXPECT_NE (why, "") << bad;
    }
  EXPECT_NE (cs_release_find_offering (one, cs_str ("m")), nullptr);
  EXPECT_EQ (cs_release_find_offering (one, cs_str ("x")), nullptr);
  ASSERT_EQ (apply (one, "{\"withdrawn\":{\"targets\":[\"t\"]}}", &two), 0);
  cs_release_targets (two, &count);
  EXPECT_EQ (count, 0u);
  cs_release_destroy (empty);
  cs_release_destroy (one);
  cs_release_destroy (two);
}

TEST (Release, ActiveReleaseNeverReverts)
{
  auto ignore = [] (void *, const cs_release_t *) {};
  cs_configuration_t *configuration
      = cs_configuration_create (ignore, nullptr);
  cs_release_t *empty = cs_release_create_empty ();
  cs_release_t *one = nullptr;
  cs_release_t *two = nullptr;
  json_t *note = load ("{\"withdrawn\":{\"targets\":[\"t\"]}}");
  ASSERT_EQ (apply (empty, base_note, &one), 0);
  ASSERT_EQ (apply (one, "{\"withdrawn\":{\"targets\":[\"t\"]}}", &two), 0);
  EXPECT_TRUE (cs_configuration_install (configuration, two));
  EXPECT_FALSE (cs_configuration_install (configuration, one));
  EXPECT_EQ (cs_configuration_revision (configuration), 2u);
  EXPECT_EQ (cs_configuration_install_note (configuration, 2, note),
             CS_ERR_CONFLICT);
  EXPECT_EQ (cs_configuration_install_note (configuration, 4, note),
             CS_ERR_CONFLICT);
  EXPECT_EQ (cs_configuration_revision (configuration), 2u);
  json_decref (note);
  cs_release_destroy (empty);
  cs_configuration_destroy (configuration);
}

// Overwrites, truncates, duplicates or deletes bytes at one to six random
// positions of GOOD.
static std::string
mutate (const std::string &good, cs_random_t *random)
{
  std::string out = good;
  int changes = 1 + static_cast<int> (cs_random_unit (random) * 6);
  for (int i = 0; i < changes && !out.empty (); i++)
    {
      size_t at = cs_random_u64 (random) % out.size ();
      switch (cs_random_u64 (random) % 4)
        {
        case 0:
          out[at] = static_cast<char> (cs_random_u64 (random));
          break;
        case 1:
          out.resize (at);
          break;
        case 2:
          out.insert (at, out.substr (at, 8));
          break;
        default:
          out.erase (at, 1 + cs_random_u64 (random) % 4);
        }
    }
  return out;
}

TEST (Fuzz, Frames)
{
  cs_random_t random = { 11, 0 };
  std::string good;
  int valid = 0;
  Cs__Peer__Ask ask = CS__PEER__ASK__INIT;
  ask.pool = 5;
  ask.call = 77;
  ask.weight = 1;
  Cs__Peer__Frame frame = CS__PEER__FRAME__INIT;
  frame.body_case = CS__PEER__FRAME__BODY_ASK;
  frame.ask = &ask;
  cs_buf_t packed = {};
  ASSERT_EQ (cs_frame_pack (&frame, &packed), 0);
  good.assign (packed.data + CS_FRAME_HEADER_SIZE,
               packed.len - CS_FRAME_HEADER_SIZE);
  for (int i = 0; i < FUZZ_INPUTS; i++)
    {
      std::string bytes = mutate (good, &random);
      cs_str_t text = { bytes.data (), bytes.size () };
      cs_frame_t *read = cs_frame_unpack (text);
      if (read != nullptr && read->body_case == CS__PEER__FRAME__BODY_ASK)
        {
          valid++;
          EXPECT_NE (read->ask->pool, 0u);
        }
      cs_frame_free (read);
    }
  EXPECT_GT (valid, 0);
  EXPECT_LT (valid, FUZZ_INPUTS);
  unsigned char head[CS_FRAME_HEADER_SIZE] = { 0xff, 0xff, 0xff, 0xff };
  uint32_t length;
  EXPECT_EQ (cs_frame_length (head, CS_FRAME_MAX, &length), CS_ERR_BAD_FRAME);
  cs_buf_free (&packed);
}

TEST (Fuzz, CallerRequests)
{
  cs_random_t random = { 12, 0 };
  const std::string good
      = "{\"model\":\"m1\",\"stream\":true,\"max_tokens\":5,"
        "\"prompt_cache_key\":\"k\",\"messages\":[{\"role\":\"user\","
        "\"content\":\"hello\"},{\"role\":\"assistant\",\"content\":\"x\"}]}";
  for (int i = 0; i < FUZZ_INPUTS; i++)
    {
      std::string bytes = mutate (good, &random);
      cs_str_t text = { bytes.data (), bytes.size () };
      cs_prompt_t prompt;
      const char *detail = nullptr;
      int rc = cs_prompt_parse (text, i % 2 == 0, &prompt, &detail);
      EXPECT_EQ (rc != 0, detail != nullptr);
      if (rc == 0)
        {
          cs_prompt_key (&prompt, cs_str ("o"));
          free (cs_prompt_continue (&prompt, cs_str ("so far "), 2));
        }
      cs_prompt_free (&prompt);
    }
}

TEST (Fuzz, LoadReports)
{
  cs_random_t random = { 13, 0 };
  const std::string good = "{\"named_metrics\":{\"running\":3,\"waiting\":1,"
                           "\"version\":\"v1\"}}";
  cs_target_load_t out;
  ASSERT_TRUE (cs_target_load_parse (cs_str (good.c_str ()), 5, &out));
  EXPECT_EQ (out.running, 3u);
  for (int i = 0; i < FUZZ_INPUTS; i++)
    {
      std::string bytes = mutate (good, &random);
      cs_str_t text = { bytes.data (), bytes.size () };
      bool is_valid = cs_target_load_parse (text, 5, &out);
      EXPECT_TRUE (!is_valid || out.running <= 1000000u);
    }
}

TEST (Fuzz, PlatformResponses)
{
  cs_random_t random = { 14, 0 };
  const std::string release
      = std::string ("{\"spec\":{\"revision\":1,\"operator\":\"a\","
                     "\"operation\":\"b\",\"time\":5,\"note\":")
        + base_note + "}}";
  const std::string claim
      = "{\"state\":\"done\",\"request\":"
        "\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\","
        "\"attempt\":\"a\",\"deadline\":5,\"expires\":6,\"status\":200,"
        "\"contentType\":\"text/plain\",\"body\":\"aGVsbG8=\"}";
  cs_release_t *empty = cs_release_create_empty ();
  for (int i = 0; i < FUZZ_INPUTS; i++)
    {
      cs_release_record_t record;
      cs_claim_t read;
      std::string bytes = mutate (release, &random);
      json_t *object = json_loadb (bytes.data (), bytes.size (), 0, nullptr);
      if (cs_release_record_read (object, &record) == 0)
        {
          cs_release_t *next = nullptr;
          cs_buf_t reason = {};
          cs_release_apply (empty, record.note, &next, &reason);
          cs_release_destroy (next);
          cs_buf_free (&reason);
        }
      cs_release_record_free (&record);
      json_decref (object);
      bytes = mutate (claim, &random);
      object = json_loadb (bytes.data (), bytes.size (), 0, nullptr);
      cs_claim_from_json (object, &read);
      cs_claim_free (&read);
      json_decref (object);
    }
  cs_release_destroy (empty);
}

// include/common/event.h and docs/EVENTS.md must list the same events.
TEST (Events, ListAndDocumentationAgree)
{
  std::set<int> numbers;
  std::ifstream page ("docs/EVENTS.md");
  std::stringstream text;
  text << page.rdbuf ();
#define CHECK_EVENT(symbol, number, priority)                                 \
  EXPECT_TRUE (numbers.insert (number).second) << number;                     \
  EXPECT_NE (text.str ().find ("| CS" #number " |"), std::string::npos)       \
      << #symbol;
  CS_EVENT_LIST (CHECK_EVENT)
#undef CHECK_EVENT
  size_t rows = 0;
  for (size_t at = 0;
       (at = text.str ().find ("| CS", at)) != std::string::npos; at++)
    rows++;
  EXPECT_EQ (rows, numbers.size ());
}
