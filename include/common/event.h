/* The list of log event numbers.  docs/EVENTS.md documents each event, and a
   unit test checks that the two lists agree.  Numbers are never reused.  */

#ifndef CS_COMMON_EVENT_H
#define CS_COMMON_EVENT_H

/* X (symbol, number, syslog priority)  */
#define CS_EVENT_LIST(X)                                                      \
  X (STARTED, 1001, 5)                                                        \
  X (STOP_BEGUN, 1002, 5)                                                     \
  X (STOPPED, 1003, 5)                                                        \
  X (STOP_REPEATED, 1004, 5)                                                  \
  X (BAD_SETTING, 1005, 3)                                                    \
  X (START_FAILED, 1006, 3)                                                   \
  X (READY, 1007, 5)                                                          \
  X (START_HOLD_ENDED, 1010, 5)                                               \
  X (RELEASE_APPLIED, 1101, 5)                                                \
  X (RELEASE_REJECTED, 1102, 3)                                               \
  X (ROUTING_APPLIED, 1103, 5)                                                \
  X (ROUTING_REJECTED, 1104, 3)                                               \
  X (SETTINGS_RELOADED, 1008, 5)                                              \
  X (LINES_DROPPED, 1009, 4)                                                  \
  X (PLATFORM_LOST, 1201, 4)                                                  \
  X (PLATFORM_RESTORED, 1202, 5)                                              \
  X (STORE_RESTORED, 1203, 4)                                                 \
  X (STORE_RESPONSE_REJECTED, 1204, 4)                                        \
  X (STORE_CONFLICT, 1205, 5)                                                 \
  X (STORE_NAMES_TOO_LONG, 1206, 4)                                           \
  X (VERSIONS_FORGOTTEN, 1207, 4)                                             \
  X (PEER_CONNECTED, 1301, 6)                                                 \
  X (PEER_LOST, 1302, 4)                                                      \
  X (PEER_REJECTED, 1303, 4)                                                  \
  X (OWNER_CHANGED, 1305, 6)                                                  \
  X (PEER_EXPIRED, 1306, 5)                                                   \
  X (TARGET_LEAVING, 1401, 5)                                                 \
  X (TARGET_SILENT, 1402, 4)                                                  \
  X (TARGET_EJECTED, 1403, 4)                                                 \
  X (TARGET_RETURNED, 1404, 5)                                                \
  X (TARGET_STARTED, 1405, 5)                                                 \
  X (WRONG_ANSWER, 1406, 4)                                                   \
  X (TARGET_LISTED, 1407, 5)                                                  \
  X (TARGET_REMOVED, 1408, 5)                                                 \
  X (TARGET_MISSING, 1409, 4)                                                 \
  X (TARGET_PAUSED, 1410, 5)                                                  \
  X (TARGET_CRASHED, 1411, 4)                                                 \
  X (TARGET_LIMITED, 1412, 5)                                                 \
  X (TARGET_LIMIT_ENDED, 1413, 5)                                             \
  X (SLOTS_REDUCED, 1414, 4)                                                  \
  X (TARGET_COLD, 1420, 5)                                                    \
  X (TARGET_WARM, 1421, 5)                                                    \
  X (EVACUATED, 1430, 4)                                                      \
  X (TAKEN_BACK, 1431, 5)                                                     \
  X (EVACUATIONS_UNKNOWN, 1432, 4)                                            \
  X (INVALID_RESPONSE, 1440, 5)                                               \
  X (LOAD_PART_IGNORED, 1441, 4)                                              \
  X (REQUEST_FAILED, 1501, 6)                                                 \
  X (STREAM_RESUMED, 1502, 6)                                                 \
  X (REQUEST_DONE, 1503, 6)                                                   \
  X (ATTEMPT_FAILED, 1504, 6)                                                 \
  X (CALLER_CLOSED, 1505, 5)                                                  \
  X (PART_BLOCKED, 1506, 4)                                                   \
  X (PART_UNBLOCKED, 1507, 5)                                                 \
  X (PARTS_NOT_REPORTED, 1508, 4)                                             \
  X (CALL_REFUSED, 1540, 5)                                                   \
  X (REQUEST_HELD, 1550, 6)                                                   \
  X (CLAIM_UNKNOWN, 1601, 4)                                                  \
  X (CLAIM_SWEPT, 1602, 6)                                                    \
  X (LEASE_ACQUIRED, 1701, 5)                                                 \
  X (LEASE_LOST, 1702, 4)                                                     \
  X (ORDER_SENT, 1703, 5)                                                     \
  X (ORDER_REFUSED, 1704, 4)                                                  \
  X (OPERATOR_DRAIN, 1801, 5)

typedef enum
{
#define CS_EVENT_ENUM(symbol, number, priority) CS_EV_##symbol = (number),
  CS_EVENT_LIST (CS_EVENT_ENUM)
#undef CS_EVENT_ENUM
} cs_event_t;

#endif
