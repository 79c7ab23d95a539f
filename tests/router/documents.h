// Configurations in the format in which the platform's store keeps them.

#ifndef TESTS_ROUTER_DOCUMENTS_H
#define TESTS_ROUTER_DOCUMENTS_H

#include <string>

namespace document
{

inline std::string
route (const std::string &name, const std::string &kind,
       const std::string &service, const std::string &extra_members)
{
  return "{\"name\":\"" + name
         + "\",\"host\":\"h.example\",\"path_prefix\":\"/" + name
         + "/\",\"kind\":\"" + kind + "\",\"service\":\"" + service
         + "\",\"target_latency_ms\":600" + extra_members + "}";
}

// Returns a configuration with routes of every kind to two services.  API key
// k1 belongs to ORGANISATION; k2 belongs to another one, of lower priority
// than any route.  TALK_TIMEOUT is that of streams that must not be resumed.
inline std::string
config (int version, const std::string &organisation,
        const std::string &extra_routes = "",
        const std::string &talk_timeout = "\"timeout_ms\":9000")
{
  return "{\"version\":" + std::to_string (version) + ",\"routes\":["
         + route ("safe", "safe", "engines",
                  ",\"max_attempts\":2,\"timeout_ms\":1500")
         + ","
         + route ("once", "unsafe", "engines",
                  ",\"max_attempts\":1,\"timeout_ms\":1500")
         + ","
         + route ("chat", "streaming", "engines",
                  ",\"max_attempts\":2,\"timeout_ms\":9000,"
                  "\"stream_resume\":true,\"session_affinity\":true,"
                  "\"priority\":2")
         + ","
         + route ("talk", "streaming", "engines",
                  ",\"max_attempts\":1," + talk_timeout)
         + ","
         + route ("desk", "unsafe", "desk",
                  ",\"max_attempts\":2,\"timeout_ms\":1500")
         + ","
         + route ("open", "safe", "desk",
                  ",\"public\":true,\"timeout_ms\":1500")
         + extra_routes
         + "],\"services\":[{\"name\":\"engines\",\"health_path\":\"/h\","
           "\"engine\":{\"slots\":8,\"kv_token_bytes\":1000,"
           "\"link_mbps\":1000000.0}},"
           "{\"name\":\"desk\",\"health_path\":\"/h\"}],"
           "\"limits\":{\"max_header_bytes\":2048,\"max_body_bytes\":100000,"
           "\"header_timeout_ms\":400,\"idle_timeout_ms\":900},"
           "\"tenants\":[{\"name\":\""
         + organisation
         + "\",\"api_keys\":[\"k1\"]},{\"name\":\"later\",\"priority\":12,"
           "\"api_keys\":[\"k2\"]}]}";
}

}

#endif
