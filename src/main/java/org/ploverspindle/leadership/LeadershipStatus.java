package org.ploverspindle.leadership;

import java.util.Locale;
import java.util.Optional;
import org.HdrHistogram.Histogram;
import org.ploverspindle.leases.HeldRole;
import org.ploverspindle.leases.RoleHolder;
import org.ploverspindle.leases.RoleLease;

/** One line on the duty to lead, for people. */
record LeadershipStatus(long nowMs, RoleLease lead) {
  private static final double MEDIAN = 50;
  private static final double NEARLY_ALL = 99;
  private static final double MS_PER_S = 1_000;

  @Override
  public String toString() {
    Optional<RoleHolder> holder = lead.holder();
    return "duty=lead holder="
        + holder.map(RoleHolder::member).orElse("none")
        + holder.map(known -> " epoch=" + known.epoch()).orElse("")
        + lead.held().map(this::ours).orElse("")
        + histogram(" renewal_ms", lead.renewalMs())
        + histogram(" vacant_ms", lead.vacantMs());
  }

  private String ours(HeldRole duty) {
    return String.format(
        Locale.ROOT,
        " held_s=%.1f renewed_s_ago=%.1f",
        (nowMs - duty.sinceMs()) / MS_PER_S,
        (nowMs - lead.lastRenewalMs()) / MS_PER_S);
  }

  private static String histogram(String name, Histogram values) {
    return String.format(
        Locale.ROOT,
        "%s(n=%d p50=%d p99=%d max=%d)",
        name,
        values.getTotalCount(),
        values.getValueAtPercentile(MEDIAN),
        values.getValueAtPercentile(NEARLY_ALL),
        values.getMaxValue());
  }
}
