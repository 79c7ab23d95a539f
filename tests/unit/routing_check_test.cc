// The check of a configuration before it is sent.

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "common/hash.h"
#include "cranberrystile/routing_check.h"
#include "platform/routing_check.h"
#include "platform/store.h"
}

namespace
{

const char SOUND[] = R"({"version":7,"routes":[
 {"name":"r","host":"h","path_prefix":"/a/","kind":"streaming",
  "timeout_ms":900,"target_latency_ms":300,"target_gap_ms":100,
  "service":"s","max_attempts":2,"stream_resume":true},
 {"name":"q","host":"h","path_prefix":"/a/b/","kind":"unsafe","priority":3,
  "backends":[{"service":"s","weight":90},{"service":"t","weight":10}]}],
 "services":[{"name":"s","engine":{"slots":8,"models":[]}},{"name":"t"}],
 "limits":{"max_header_bytes":1000},
 "tenants":[{"name":"o","api_keys":["key-of-o-1","key-of-o-2"],"priority":1},
  {"name":"p","api_keys":["key-of-p-1"]}]})";

const int ODD_DOCUMENTS = 10000;

class Document
{
public:
  explicit Document (const std::string &text)
      : spec (json_loadb (text.data (), text.size (), 0, nullptr))
  {
    EXPECT_NE (spec, nullptr) << text;
    routing = cs_store_check_routing (spec, &findings);
  }
  Document (const Document &) = delete;
  ~Document ()
  {
    cs_routing_release (routing);
    cs_findings_free (&findings);
    json_decref (spec);
  }

  // Each finding as "error PATH CODE".
  std::vector<std::string>
  list () const
  {
    return list (&findings);
  }

  static std::vector<std::string>
  list (const cs_findings_t *findings)
  {
    std::vector<std::string> texts;
    for (size_t i = 0; i < findings->finding_count; i++)
      {
        const cs_finding_t *finding = &findings->findings[i];
        texts.push_back (std::string (finding->severity == CS_SEVERITY_ERROR
                                          ? "error "
                                          : "warning ")
                         + finding->path + " " + finding->code);
      }
    return texts;
  }

  json_t *spec;
  cs_routing_t *routing = nullptr;
  cs_findings_t findings = {};
};

// SOUND with the first FROM replaced by TO.
std::string
changed (const std::string &from, const std::string &to)
{
  std::string text = SOUND;
  size_t at = text.find (from);
  EXPECT_NE (at, std::string::npos) << from;
  return text.replace (at, from.size (), to);
}

// Guards against alarms that teach operators to ignore the check.
TEST (RoutingCheck, FindsNothingInASoundConfiguration)
{
  Document document (SOUND);
  EXPECT_EQ (document.list (), std::vector<std::string> ());
}

// Guards against a fault that reaches the routers unseen: each of these
// changes to a sound configuration is found, at its place, and nothing else
// is.
TEST (RoutingCheck, FindsEachFaultAtItsPlace)
{
  const struct
  {
    const char *from, *to, *finding;
  } faults[] = {
    { "\"version\":7", "\"version\":\"7\"",
      "error version wrong_type;error version refused" },
    { "\"version\":7", "\"version\":-7",
      "error version out_of_range;error version refused" },
    { "\"service\":\"t\"", "\"service\":\"u\"", "error routes[1] refused" },
    { "\"host\":\"h\"", "\"host\":\"\"",
      "error routes[0].host route_without_host" },
    { "\"host\":\"h\"", "\"host\":\"h:80\"",
      "error routes[0].host host_with_port" },
    { "\"/a/\"", "\"a/\"",
      "error routes[0].path_prefix prefix_never_matches" },
    { "\"/a/\"", "\"/a?b/\"",
      "error routes[0].path_prefix prefix_never_matches" },
    { "\"/a/\"", "\"/a\"",
      "warning routes[0].path_prefix prefix_without_slash" },
    { "\"/a/\"", "\"\"", "warning routes[0].path_prefix prefix_empty" },
    { "\"/a/b/\"", "\"/a/\"", "error routes[1] route_unreachable" },
    { "\"name\":\"q\"", "\"name\":\"r\"",
      "warning routes[1].name route_name_twice" },
    { "\"name\":\"r\",", "", "warning routes[0].name route_without_name" },
    { "\"streaming\"", "\"stream\"",
      "error routes[0].kind kind_unknown;"
      "warning routes[0].stream_resume resume_without_stream;"
      "warning routes[0].target_gap_ms gap_without_stream;"
      "warning routes[0].max_attempts attempts_not_repeatable" },
    { "\"kind\":\"unsafe\",", "", "warning routes[1].kind kind_missing" },
    { "\"timeout_ms\":900", "\"timeout_ms\":0",
      "error routes[0].timeout_ms timeout_zero" },
    { "\"timeout_ms\":900", "\"timeout_ms\":200",
      "warning routes[0].target_latency_ms objective_above_timeout" },
    { "\"target_gap_ms\":100", "\"target_gap_ms\":901",
      "warning routes[0].target_gap_ms gap_above_timeout" },
    { "\"timeout_ms\":900", "\"timeout_ms\":900.5",
      "warning routes[0].timeout_ms fraction" },
    { "\"timeout_ms\":900", "\"timeout_ms\":\"900\"",
      "error routes[0].timeout_ms wrong_type" },
    { "\"timeout_ms\":900", "\"timeout\":900",
      "warning routes[0].timeout unknown_field" },
    { "\"max_attempts\":2", "\"max_attempts\":0",
      "warning routes[0].max_attempts attempts_zero" },
    { "\"stream_resume\":true", "\"stream_resume\":false",
      "warning routes[0].max_attempts attempts_not_repeatable" },
    { "\"priority\":3", "\"service\":\"s\"",
      "warning routes[1].service service_ignored" },
    { "\"weight\":10", "\"weight\":0",
      "warning routes[1].backends weight_zero" },
    { "\"weight\":90},{\"service\":\"t\",\"weight\":10",
      "\"weight\":0},{\"service\":\"t\",\"weight\":0",
      "error routes[1].backends weights_all_zero" },
    { "{\"name\":\"t\"}", "{\"name\":\"t\"},{\"name\":\"u\"}",
      "warning services[2] service_unused" },
    { "{\"name\":\"t\"}", "{\"name\":\"t\"},{\"name\":\"t\"}",
      "error services[2].name service_name_twice" },
    { "\"slots\":8", "\"slots\":0",
      "warning services[0].engine.slots engine_without_slots" },
    { "{\"name\":\"t\"}", "{\"name\":\"t\",\"max_connections\":0}",
      "warning services[1].max_connections cap_below_one" },
    { "[\"key-of-p-1\"]", "[]",
      "warning tenants[1].api_keys organisation_without_keys" },
    { "key-of-p-1", "key-of-o-2",
      "error tenants[0].api_keys key_of_two_organisations" },
    { "key-of-o-2", "key-of-o-1", "warning tenants[0].api_keys key_twice" },
    { "\"key-of-o-2\"", "\"\"", "error tenants[0].api_keys key_empty" },
    { "\"key-of-o-2\"", "5", "error tenants[0].api_keys[1] wrong_type" },
    { "\"name\":\"p\"", "\"name\":\"o\"",
      "warning tenants[1].name organisation_name_twice" },
    { "\"max_header_bytes\":1000", "\"max_header_bytes\":29",
      "error routes[1].path_prefix route_above_head_limit" },
    { "\"max_header_bytes\":1000", "\"max_header_bytes\":20",
      "error limits.max_header_bytes head_limit_too_low" },
    { "\"max_header_bytes\"", "\"max_body_bytes\":0,\"max_header_bytes\"",
      "warning limits.max_body_bytes body_limit_zero" },
    { "\"max_header_bytes\"", "\"header_timeout_ms\":0,\"max_header_bytes\"",
      "error limits.header_timeout_ms head_timeout_zero" },
    { "\"max_header_bytes\"", "\"idle_timeout_ms\":0,\"max_header_bytes\"",
      "error limits.idle_timeout_ms idle_timeout_zero" },
    { "\"tenants\"", "\"renters\"",
      "warning renters unknown_field;warning $ no_organisations" },
  };
  for (const auto &fault : faults)
    {
      Document document (changed (fault.from, fault.to));
      std::string found;
      for (const std::string &finding : document.list ())
        found += (found.empty () ? "" : ";") + finding;
      EXPECT_EQ (found, fault.finding) << fault.from << " -> " << fault.to;
    }
}

// Replaces a value in VALUE, at a random depth, by one of another type.
void
corrupt (json_t *value, cs_random_t *random)
{
  static const char *const odd[]
      = { "null", "true",   "-1", "0",        "1e300",     "\"\"",
          "[]",   "[null]", "{}", "[[{}],1]", "{\"a\":1}", "\"a\\n\"" };
  json_t *replacement = json_loads (odd[cs_random_u64 (random) % 12],
                                    JSON_DECODE_ANY, nullptr);
  size_t size = json_is_array (value) ? json_array_size (value)
                                      : json_object_size (value);
  size_t index = size == 0 ? 0 : cs_random_u64 (random) % size;
  void *member = json_object_iter (value);
  for (size_t i = 0; json_is_object (value) && i < index; i++)
    member = json_object_iter_next (value, member);
  json_t *child = json_is_array (value) ? json_array_get (value, index)
                                        : json_object_iter_value (member);
  if (json_is_array (child) || json_is_object (child))
    if (cs_random_u64 (random) % 4 > 0)
      {
        json_decref (replacement);
        return corrupt (child, random);
      }
  if (json_is_array (value))
    json_array_set_new (value, index, replacement);
  else if (size > 0)
    json_object_iter_set_new (value, member, replacement);
  else
    json_decref (replacement);
}

// Guards against a crash of the check, or a refusal that it doesn't report, on
// a document that is odd anywhere.
TEST (RoutingCheck, SurvivesOddDocuments)
{
  cs_random_t random = { 31, 0 };
  Document sound (SOUND);
  cs_store_version_t sound_version = { sound.spec, sound.routing };
  for (int i = 0; i < ODD_DOCUMENTS; i++)
    {
      json_t *spec = json_deep_copy (sound.spec);
      for (size_t k = 0; k <= cs_random_u64 (&random) % 4; k++)
        corrupt (spec, &random);
      cs_findings_t findings = {};
      cs_routing_t *routing = cs_store_check_routing (spec, &findings);
      cs_store_version_t version = { spec, routing };
      if (routing != nullptr)
        cs_store_compare_routing (&version, &sound_version, &findings);
      else
        EXPECT_GT (cs_findings_count (&findings, CS_SEVERITY_ERROR), 0U);
      EXPECT_FALSE (findings.out_of_memory);
      cs_routing_release (routing);
      cs_findings_free (&findings);
      json_decref (spec);
    }
}

// Guards against an API key in the output, which ends up in logs of CI.
TEST (RoutingCheck, ShowsNoWholeKey)
{
  for (const char *key : { "", "k", "key", "key-of-o-1",
                           "0123456789abcdefghijk"
                           "lmnopqrstuvwxyz01234" })
    {
      char shown[CS_MASKED_KEY_SIZE];
      cs_routing_mask_key (cs_str (key), shown);
      size_t len = strlen (key);
      EXPECT_EQ (shown,
                 std::string (key, std::min<size_t> (len / 4, 8)) + "***");
    }
}

const int CONFIGURATIONS = 2000;

template <typename T>
const T &
draw (cs_random_t *random, const std::vector<T> &from)
{
  return from[cs_random_u64 (random) % from.size ()];
}

// All paths of up to three segments, with and without a slash at the end.
std::vector<std::string>
all_paths ()
{
  std::vector<std::string> paths = { "/" };
  for (size_t i = 0; i < paths.size (); i++)
    if (paths[i].back () == '/'
        && std::count (paths[i].begin (), paths[i].end (), '/') < 4)
      for (const char *segment : { "a", "b", "ab" })
        {
          std::string path = paths[i] + segment;
          paths.push_back (path);
          paths.push_back (path + "/");
        }
  return paths;
}

// Guards against a check that calls a route dead which serves requests, so
// that an operator removes it, and against one that misses a dead route.  What
// serves is found by asking for all hosts and paths.
TEST (RoutingCheck, UnreachableRoutesAreThoseThatAreNeverChosen)
{
  const std::vector<std::string> hosts
      = { "one", "ONE", "two", "one:80", "", "three" };
  const std::vector<std::string> prefixes
      = { "/",   "/a/",  "/b/",  "/a/b/", "/ab/", "/a", "/a/b",
          "/ab", "/b/a", "/a b", "a/",    "",     "/?" };
  const std::set<std::string> codes
      = { "route_unreachable", "host_with_port", "prefix_never_matches",
          "route_without_host" };
  const std::vector<std::string> paths = all_paths ();
  cs_random_t random = { 8, 0 };
  size_t reported = 0;
  size_t reachable = 0;
  for (int n = 0; n < CONFIGURATIONS; n++)
    {
      std::string routes;
      size_t count = 1 + cs_random_u64 (&random) % 12;
      for (size_t i = 0; i < count; i++)
        routes += (i == 0 ? "{\"name\":\"r" : ",{\"name\":\"r")
                  + std::to_string (i) + "\",\"host\":\""
                  + draw (&random, hosts) + "\",\"path_prefix\":\""
                  + draw (&random, prefixes)
                  + "\",\"kind\":\"safe\",\"service\":\"s\"}";
      Document document ("{\"version\":1,\"services\":[{\"name\":\"s\"}],"
                         "\"routes\":["
                         + routes + "]}");
      ASSERT_NE (document.routing, nullptr);
      std::set<size_t> dead;
      for (size_t i = 0; i < document.findings.finding_count; i++)
        if (codes.count (document.findings.findings[i].code) > 0)
          dead.insert (document.findings.findings[i].place.index);
      std::set<size_t> chosen;
      for (const char *host : { "one", "One:8080", "two:1", "THREE", "four" })
        for (const std::string &path : paths)
          {
            const cs_route_t *route = cs_routing_find_route (
                document.routing, cs_str (host), cs_str (path.c_str ()));
            if (route != nullptr)
              chosen.insert (route->position);
          }
      for (size_t i = 0; i < count; i++)
        EXPECT_NE (dead.count (i), chosen.count (i))
            << "configuration " << n << ", route " << i << ": " << routes;
      reported += dead.size ();
      reachable += chosen.size ();
    }
  EXPECT_GT (reported, 1000U);
  EXPECT_GT (reachable, 1000U);
}

// Each difference as "CHANGE NAME PROPERTY OLD>NEW".
std::vector<std::string>
differences (const cs_findings_t *findings)
{
  const auto text = [] (const char *s) { return std::string (s ? s : ""); };
  std::vector<std::string> list;
  for (size_t i = 0; i < findings->difference_count; i++)
    {
      const cs_difference_t *entry = &findings->differences[i];
      list.push_back (std::string (1, "+~-"[entry->change]) + " "
                      + text (entry->name) + " " + text (entry->property) + " "
                      + text (entry->old_text) + ">" + text (entry->new_text));
    }
  return list;
}

struct Comparison
{
  Comparison (const std::string &old_text, const std::string &new_text)
  {
    Document older (old_text);
    Document newer (new_text);
    cs_store_version_t old_version = { older.spec, older.routing };
    cs_store_version_t new_version = { newer.spec, newer.routing };
    cs_findings_t findings = {};
    cs_store_compare_routing (&old_version, &new_version, &findings);
    warnings = Document::list (&findings);
    changes = differences (&findings);
    cs_findings_free (&findings);
  }
  std::vector<std::string> warnings, changes;
};

// Guards against a restriction to regions in which nothing can serve, of which
// an operator would learn from callers that are refused.
TEST (RoutingCheck, FindsRegionsWithoutTargets)
{
  cs_setting_pairs_t regions = {};
  for (const char *const *pair : { (const char *const[]){ "a", "north" },
                                   (const char *const[]){ "b", "south" } })
    {
      cs_name_set (&regions.pairs[regions.count].key, cs_str (pair[0]));
      cs_name_set (&regions.pairs[regions.count++].value, cs_str (pair[1]));
    }
  // Service "s" has targets in a and, leaving, in b; "t" has one in b.
  auto entry = [] (const std::string &id, const std::string &service,
                   const std::string &data_centre, const std::string &state) {
    return R"({"metadata":{"name":")" + id + R"(","revision":3},)"
           + R"("spec":{"service":")" + service + R"(","zone":")" + data_centre
           + R"(","state":")" + state
           + R"(","address":"127.0.0.1:80","slots":1,"born":1}})";
  };
  std::string targets = R"({"current_rev":3,"truncated":false,"items":[)"
                        + entry ("i-1", "s", "a", "ready") + ","
                        + entry ("i-2", "s", "b", "draining") + ","
                        + entry ("i-3", "t", "b", "ready") + "]}";
  auto restrict = [] (const char *list) {
    return std::string ("\"allowed_regions\":") + list + ",";
  };
  const std::string route = "\"name\":\"r\",";
  const std::string organisation = "\"name\":\"o\",";
  const struct
  {
    std::string from, list, found;
  } cases[] = {
    { route, R"(["north"])", "" },
    { route, R"(["north","south"])",
      "warning routes[0].allowed_regions region_without_targets" },
    { route, R"(["south"])",
      "error routes[0].allowed_regions no_target_allowed" },
    { route, "[]", "error routes[0].allowed_regions no_target_allowed" },
    { organisation, R"(["north","south"])", "" },
    { organisation, R"(["south"])",
      "warning tenants[0].allowed_regions route_without_target" },
    { organisation, R"(["west"])",
      "error tenants[0].allowed_regions no_target_allowed" },
  };
  for (const auto &one : cases)
    {
      Document document (
          changed (one.from, one.from + restrict(one.list.c_str ())));
      ASSERT_NE (document.routing, nullptr);
      cs_store_check_regions (document.spec, document.routing,
                              cs_str (targets.c_str ()), &regions,
                              &document.findings);
      std::string found;
      for (const std::string &finding : document.list ())
        found += (found.empty () ? "" : ";") + finding;
      EXPECT_EQ (found, one.found) << one.from << one.list;
    }
  Document document (SOUND);
  for (const char *list : { "", "{}",
                            R"({"items":[],"truncated":true,)"
                            R"("current_rev":1})" })
    cs_store_check_regions (document.spec, document.routing, cs_str (list),
                            &regions, &document.findings);
  EXPECT_EQ (document.findings.finding_count, 3u);
}

// Guards against a change that an operator overlooks, also one of a field that
// the routers don't read.
TEST (RoutingCheck, NamesEachDifference)
{
  const std::string newer = R"({"version":8,"routes":[
 {"name":"n","host":"h","path_prefix":"/n/","kind":"safe","service":"t"},
 {"name":"r","host":"h","path_prefix":"/a/","kind":"streaming",
  "timeout_ms":800,"target_latency_ms":300,"target_gap_ms":100,
  "service":"t","max_attempts":2,"stream_resume":true}],
 "services":[{"name":"s","engine":{"slots":8,"models":["m"]}},{"name":"t"}],
 "limits":{"max_header_bytes":1001},
 "tenants":[{"name":"o","api_keys":["key-of-o-1"],"secret":"x"},
  {"name":"p","api_keys":["key-of-p-2"]}]})";
  Comparison comparison (SOUND, newer);
  const std::vector<std::string> changes
      = { "- q  >",
          "~ r service s>t",
          "~ r timeout 900 ms>800 ms",
          "+ n  >",
          "~ o priority 1>that of the route",
          "- o key ke***>",
          "- p key ke***>",
          "+ p key >ke***",
          "~  size of a head 1000 bytes>1001 bytes",
          "~ s engine.models []>[\"m\"]",
          "+ o secret >(not shown)" };
  std::vector<std::string> found = comparison.changes;
  EXPECT_EQ (std::set<std::string> (found.begin (), found.end ()),
             std::set<std::string> (changes.begin (), changes.end ()));
  EXPECT_EQ (found.size (), changes.size ());
  // Requests of "q" are taken over by "r", whose services differ; the key of
  // "p" is replaced.
  std::sort (comparison.warnings.begin (), comparison.warnings.end ());
  EXPECT_EQ (comparison.warnings,
             (std::vector<std::string>{
                 "warning $ key_removed",
                 "warning routes[1].service route_service_changed",
                 "warning routes[1].service route_service_changed" }));
}

// Guards against a version that routers ignore, and against requests and keys
// that nobody takes over.
TEST (RoutingCheck, WarnsOfLosses)
{
  const std::vector<std::string> not_newer
      = { "warning version version_not_newer" };
  EXPECT_EQ (Comparison (SOUND, SOUND).warnings, not_newer);
  EXPECT_TRUE (Comparison (SOUND, SOUND).changes.empty ());
  const std::string other_host = changed ("\"host\":\"h\"", "\"host\":\"i\"");
  EXPECT_EQ (Comparison (SOUND, other_host).warnings.at (1),
             "warning $ route_moved");
  const std::string moved_key = changed ("\"key-of-o-2\"", "\"key-of-p-1\"");
  EXPECT_EQ (Comparison (changed (",\"key-of-o-2\"", ""),
                         changed ("\"key-of-o-1\",", ""))
                 .warnings.size (),
             1U)
      << "a key that another one replaces is no loss";
  const std::string swapped
      = changed ("\"key-of-o-1\",\"key-of-o-2\"],\"priority\":1},\n  "
                 "{\"name\":\"p\",\"api_keys\":[\"key-of-p-1\"",
                 "\"key-of-o-1\",\"key-of-p-1\"],\"priority\":1},\n  "
                 "{\"name\":\"p\",\"api_keys\":[\"key-of-o-2\"");
  EXPECT_EQ (
      Comparison (SOUND, swapped).warnings,
      (std::vector<std::string>{ "warning version version_not_newer",
                                 "warning tenants[1].api_keys key_moved",
                                 "warning tenants[0].api_keys "
                                 "key_moved" }));
}

// The decoder reads both fields from an engine, too.  An operator who was told
// that routers ignore them would take them out, and lose the limit.
TEST (RoutingCheck, KnowsTheColdPeriodOfAnEngine)
{
  Document document (changed ("\"slots\":8", "\"slots\":8,\"cold_per_s\":18,"
                                             "\"cold_start_s\":3"));
  ASSERT_NE (document.routing, nullptr);
  EXPECT_EQ (document.routing->services[0].cold_per_s, 18U);
  EXPECT_TRUE (document.list ().empty ())
      << testing::PrintToString (document.list ());
}

}
