#include "cranberrystile/lease.h"

/* The holder renews after 1/RENEW_DIVISOR of the duration, and sends no more
   orders when 1/MARGIN_DIVISOR of it is left.  */
#define RENEW_DIVISOR 3
#define MARGIN_DIVISOR 5

static cs_time_us_t
duration_us (const cs_lease_record_t *record)
{
  return (cs_time_us_t)record->duration_s * CS_US_PER_S;
}

static bool
is_held_by (const cs_lease_record_t *record, cs_str_t self)
{
  return cs_str_equal (cs_name_str (&record->holder), self);
}

void
cs_lease_observe (cs_lease_t *lease, const cs_lease_record_t *record,
                  cs_str_t self, cs_time_us_t now)
{
  if (lease->observed_at == 0 || record->version != lease->record.version)
    lease->observed_at = now;
  lease->record = *record;
  if (!is_held_by (record, self))
    lease->held = false;
}

cs_lease_step_t
cs_lease_next (const cs_lease_t *lease, cs_str_t self, cs_time_us_t now)
{
  cs_time_us_t duration = duration_us (&lease->record);
  if (lease->observed_at == 0)
    return CS_LEASE_WAIT;
  if (is_held_by (&lease->record, self) && lease->held)
    {
      if (!cs_lease_is_valid (lease, now))
        return CS_LEASE_ACQUIRE;
      cs_time_us_t renewed = lease->valid_until - duration;
      return now >= renewed + duration / RENEW_DIVISOR ? CS_LEASE_RENEW
                                                       : CS_LEASE_WAIT;
    }
  if (lease->record.holder.len == 0)
    return CS_LEASE_ACQUIRE;
  return now >= lease->observed_at + duration ? CS_LEASE_ACQUIRE
                                              : CS_LEASE_WAIT;
}

void
cs_lease_written (cs_lease_t *lease, const cs_lease_record_t *record,
                  cs_time_us_t sent_at, cs_time_us_t max_order_us)
{
  bool new_holder
      = !lease->held || record->transitions != lease->record.transitions;
  lease->record = *record;
  lease->observed_at = sent_at;
  lease->held = true;
  lease->valid_until = sent_at + duration_us (record);
  if (new_holder)
    lease->orders_blocked_until = sent_at + max_order_us;
}

bool
cs_lease_is_valid (const cs_lease_t *lease, cs_time_us_t now)
{
  cs_time_us_t margin = duration_us (&lease->record) / MARGIN_DIVISOR;
  return lease->held && now + margin < lease->valid_until;
}

bool
cs_lease_may_order (const cs_lease_t *lease, bool checks_fencing,
                    cs_time_us_t order_us, cs_time_us_t now)
{
  if (!cs_lease_is_valid (lease, now))
    return false;
  if (now + order_us >= lease->valid_until)
    return false;
  return checks_fencing || now >= lease->orders_blocked_until;
}
