#include "daemon/configuration_sync.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"

void
cs_configuration_sync_send_request (cs_configuration_t *configuration,
                                    cs_link_t *link)
{
  Cs__Peer__ConfigurationRequest message;
  cs_frame_t frame;
  cs__peer__configuration_request__init (&message);
  message.have = cs_configuration_revision (configuration);
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_CONFIGURATION_REQUEST;
  frame.configuration_request = &message;
  cs_link_send (link, &frame);
}

static void
send_configuration (cs_link_t *link, uint64_t revision, const json_t *note,
                    const json_t *document)
{
  Cs__Peer__Configuration message;
  cs_frame_t frame;
  char *text = json_dumps (note != NULL ? note : document, JSON_COMPACT);
  ProtobufCBinaryData *field
      = note != NULL ? &message.note : &message.document;
  if (text == NULL)
    return;
  cs__peer__configuration__init (&message);
  message.revision = revision;
  field->data = (uint8_t *)text;
  field->len = strlen (text);
  cs__peer__frame__init (&frame);
  frame.body_case = CS__PEER__FRAME__BODY_CONFIGURATION;
  frame.configuration = &message;
  cs_link_send (link, &frame);
  free (text);
}

void
cs_configuration_sync_handle_request (
    cs_configuration_t *configuration, cs_link_t *link,
    const Cs__Peer__ConfigurationRequest *request)
{
  uint64_t revision = 0;
  if (request->have >= cs_configuration_revision (configuration))
    return;
  /* A note holds only the changes since the previous revision, so a host
     without a release needs the whole document.  */
  json_t *note
      = request->have == 0
            ? NULL
            : cs_configuration_note (configuration, request->have + 1);
  json_t *document = NULL;
  if (note != NULL)
    revision = request->have + 1;
  else
    document = cs_configuration_document (configuration, &revision);
  if (note != NULL || document != NULL)
    send_configuration (link, revision, note, document);
  json_decref (note);
  json_decref (document);
}

static int
install_document (cs_configuration_t *configuration, uint64_t revision,
                  const json_t *document)
{
  cs_release_t *release = NULL;
  cs_buf_t reason = { 0 };
  int rc = cs_release_create (revision, document, &release, &reason);
  if (rc == 0)
    cs_configuration_install (configuration, release);
  else
    cs_log (CS_EV_RELEASE_REJECTED, "revision=%llu reason=\"%s\"",
            (unsigned long long)revision,
            reason.data == NULL ? "" : reason.data);
  cs_buf_free (&reason);
  return rc;
}

void
cs_configuration_sync_handle_response (cs_configuration_t *configuration,
                                       cs_link_t *link,
                                       const Cs__Peer__Configuration *message)
{
  bool is_note = message->note.len > 0;
  const ProtobufCBinaryData *field
      = is_note ? &message->note : &message->document;
  json_t *value = json_loadb ((const char *)field->data, field->len, 0, NULL);
  if (value == NULL)
    return;
  int rc = is_note
               ? cs_configuration_install_note (configuration,
                                                message->revision, value)
               : install_document (configuration, message->revision, value);
  json_decref (value);
  /* There may be later revisions.  The peer doesn't respond if there are
     none.  */
  if (rc == 0 && is_note)
    cs_configuration_sync_send_request (configuration, link);
}
